//! The cursor that a reader gives back: it opens as it was sealed, and nothing else opens.

use comfreymast_base::{GenerationId, Kind, Model, Organisation, Upstream};
use comfreymast_daemon::{Cursor, CursorError, CursorSeal};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(0xC0FF), failure_persistence: None, ..Config::default() }
}

fn cursor() -> impl Strategy<Value = Cursor> {
    let names = (".{0,24}", ".{0,24}", ".{0,24}", ".{0,24}");
    let numbers = (any::<u64>(), any::<u32>(), any::<u64>(), any::<u64>());
    (names, any::<[u8; 16]>(), numbers).prop_map(|(names, generation, numbers)| Cursor {
        organisation: Organisation::from(names.0),
        upstream: Upstream::from(names.1),
        model: Model::from(names.2),
        kind: Kind::from(names.3),
        generation: GenerationId::from_bytes(generation),
        fence: numbers.0,
        read_tokens: numbers.1,
        request_digest: numbers.2,
        text_digest: numbers.3,
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_cursor_opens_as_it_was_sealed(cursor in cursor()) {
        let seal = CursorSeal::new(b"the key of the fleet");
        prop_assert_eq!(seal.open(&seal.seal(&cursor)), Ok(cursor));
    }

    #[test]
    fn a_changed_cursor_never_opens(cursor in cursor(), place in any::<prop::sample::Index>(), letter in "[A-Za-z0-9_-]") {
        let seal = CursorSeal::new(b"the key of the fleet");
        let sealed = seal.seal(&cursor);
        let place = place.index(sealed.len());
        let mut changed = sealed.clone();
        changed.replace_range(place..=place, &letter);
        prop_assume!(changed != sealed);
        prop_assert!(seal.open(&changed).is_err());
    }

    #[test]
    fn a_cursor_of_another_fleet_never_opens(cursor in cursor()) {
        let sealed = CursorSeal::new(b"the key of another fleet").seal(&cursor);
        prop_assert_eq!(CursorSeal::new(b"the key of the fleet").open(&sealed), Err(CursorError::Forged));
    }

    #[test]
    fn any_text_is_refused_without_a_panic(text in ".{0,200}") {
        prop_assert!(CursorSeal::new(b"the key of the fleet").open(&text).is_err());
    }

    #[test]
    fn a_cut_cursor_is_refused(cursor in cursor(), length in any::<prop::sample::Index>()) {
        let seal = CursorSeal::new(b"the key of the fleet");
        let sealed = seal.seal(&cursor);
        let cut = &sealed[..length.index(sealed.len())];
        prop_assert!(seal.open(cut).is_err());
    }
}
