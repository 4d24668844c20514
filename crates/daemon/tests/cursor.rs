//! Cursors open to exactly what was sealed; any other text is refused.

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
    fn a_sealed_cursor_opens_unchanged(cursor in cursor()) {
        let seal = CursorSeal::new(b"the key of the fleet");
        prop_assert_eq!(seal.open(&seal.seal(&cursor)), Ok(cursor));
    }

    #[test]
    fn a_modified_cursor_is_refused(
        cursor in cursor(),
        index in any::<prop::sample::Index>(),
        character in "[A-Za-z0-9_-]",
    ) {
        let seal = CursorSeal::new(b"the key of the fleet");
        let sealed = seal.seal(&cursor);
        let index = index.index(sealed.len());
        let mut modified = sealed.clone();
        modified.replace_range(index..=index, &character);
        prop_assume!(modified != sealed);
        prop_assert!(seal.open(&modified).is_err());
    }

    #[test]
    fn a_cursor_of_another_fleet_is_refused(cursor in cursor()) {
        let sealed = CursorSeal::new(b"the key of another fleet").seal(&cursor);
        prop_assert_eq!(
            CursorSeal::new(b"the key of the fleet").open(&sealed),
            Err(CursorError::Forged)
        );
    }

    #[test]
    fn arbitrary_text_is_refused_without_a_panic(text in ".{0,200}") {
        prop_assert!(CursorSeal::new(b"the key of the fleet").open(&text).is_err());
    }

    #[test]
    fn a_truncated_cursor_is_refused(cursor in cursor(), length in any::<prop::sample::Index>()) {
        let seal = CursorSeal::new(b"the key of the fleet");
        let sealed = seal.seal(&cursor);
        let truncated = &sealed[..length.index(sealed.len())];
        prop_assert!(seal.open(truncated).is_err());
    }
}
