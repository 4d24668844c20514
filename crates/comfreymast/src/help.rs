/// Returns the part of the help text for the command in `args`; `None` without `--help` or `-h`.
///
/// The help text has a section for each command, headed by the full command. The sections of
/// subcommands follow the section of their command.
pub(crate) fn requested_help(help: &str, args: &[String]) -> Option<String> {
    let is_requested = args.iter().any(|arg| arg == "--help" || arg == "-h");
    if !is_requested {
        return None;
    }
    let mut heading = vec!["comfreymast"];
    for arg in args {
        let candidate = [heading.as_slice(), &[arg.as_str()]].concat();
        if is_heading(help, &candidate.join(" ")) {
            heading = candidate;
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

/// Returns the section with this heading and the sections of its subcommands.
fn sections(help: &str, heading: &str) -> String {
    let subcommand_prefix = format!("{heading} ");
    let mut is_selected = false;
    let mut lines = Vec::new();
    for line in help.lines() {
        if line.starts_with("comfreymast") {
            is_selected = line == heading || line.starts_with(&subcommand_prefix);
        }
        if is_selected {
            lines.push(line);
        }
    }
    lines.join("\n").trim_end().to_owned()
}
