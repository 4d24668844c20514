/// The part of the help text that a command line with `--help` asks for; `None` without one.
///
/// The text has a section for each command, headed by the command's words; a section of a command
/// with subcommands is followed by theirs.
pub(crate) fn asked_for(help: &str, args: &[String]) -> Option<String> {
    let asked = args.iter().any(|arg| arg == "--help" || arg == "-h");
    if !asked {
        return None;
    }
    let mut heading = vec!["comfreymast"];
    for arg in args {
        let longer = [heading.as_slice(), &[arg.as_str()]].concat();
        if is_heading(help, &longer.join(" ")) {
            heading = longer;
        }
    }
    if heading.len() == 1 {
        return Some(help.trim_end().to_owned());
    }
    Some(sections(help, &heading.join(" ")))
}

fn is_heading(help: &str, heading: &str) -> bool {
    help.lines().any(|line| line == heading)
}

/// The section with this heading and those of its subcommands.
fn sections(help: &str, heading: &str) -> String {
    let below = format!("{heading} ");
    let mut inside = false;
    let mut lines = Vec::new();
    for line in help.lines() {
        if line.starts_with("comfreymast") {
            inside = line == heading || line.starts_with(&below);
        }
        if inside {
            lines.push(line);
        }
    }
    lines.join("\n").trim_end().to_owned()
}
