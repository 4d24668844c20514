use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};

use derive_more::{Display, Error, From};

/// Why a proof could not be run.
#[derive(Debug, Display, Error, From)]
pub enum ProofError {
    /// A process or file could not be opened.
    #[display("{_0}")]
    Io(std::io::Error),
    /// A process did not say where it listens.
    #[display("{program} did not start; it said {said:?}")]
    #[from(ignore)]
    NotStarted {
        /// The program.
        program: String,
        /// Its first line.
        said: String,
    },
    /// A call failed.
    #[display("{_0}")]
    Call(comfreymast_net::DialError),
    /// An exchange over HTTP/2 failed.
    #[display("{_0}")]
    Http(hyper::Error),
    /// A request does not read.
    #[display("{_0}")]
    Request(hyper::http::Error),
    /// Something did not happen in time.
    #[display("not seen within {limit_ms} ms: {what}")]
    #[from(ignore)]
    NotSeen {
        /// What was waited for.
        what: String,
        /// The time allowed.
        limit_ms: u64,
    },
}

/// One started process. Dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    first_line: String,
}

impl Process {
    /// Starts `command` and waits for its first line, which begins with `listening on `.
    ///
    /// # Errors
    ///
    /// [`ProofError::Io`] or [`ProofError::NotStarted`].
    pub fn start(command: Command) -> Result<Self, ProofError> {
        Ok(Self::start_unread(command)?.0)
    }

    /// Starts `command` as [`Process::start`] does, and appends what it says afterwards to the file
    /// at `log`.
    ///
    /// # Errors
    ///
    /// [`ProofError::Io`] or [`ProofError::NotStarted`].
    pub fn start_logged(command: Command, log: &Path) -> Result<Self, ProofError> {
        let mut file = File::options().create(true).append(true).open(log)?;
        let (process, unread) = Self::start_unread(command)?;
        if let Some(mut unread) = unread {
            // Ends with the process, whose end closes its output.
            std::thread::spawn(move || std::io::copy(&mut unread, &mut file));
        }
        Ok(process)
    }

    fn start_unread(
        mut command: Command,
    ) -> Result<(Self, Option<BufReader<ChildStdout>>), ProofError> {
        let program = command.get_program().to_string_lossy().into_owned();
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn()?;
        let mut first_line = String::new();
        let mut unread = child.stdout.take().map(BufReader::new);
        if let Some(stdout) = unread.as_mut() {
            stdout.read_line(&mut first_line)?;
        }
        let mut process = Self { child, first_line: first_line.clone() };
        match first_line.trim_end().strip_prefix("listening on ") {
            Some(listening) => {
                process.first_line = listening.to_owned();
                Ok((process, unread))
            }
            None => Err(ProofError::NotStarted { program, said: first_line }),
        }
    }

    /// What the process said after `listening on `.
    #[must_use]
    pub fn listening(&self) -> &str {
        &self.first_line
    }

    /// The process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process at once and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// [`ProofError::Io`] when the signal cannot be sent.
    pub fn signal(&self, name: &str) -> Result<(), ProofError> {
        let pid = self.child.id().to_string();
        Command::new("kill").args([&format!("-{name}"), &pid]).status()?;
        Ok(())
    }

    /// The exit code, once the process has ended.
    ///
    /// # Errors
    ///
    /// [`ProofError::Io`] when the system does not tell.
    pub fn exit_code(&mut self) -> Result<Option<i32>, ProofError> {
        Ok(self.child.try_wait()?.map(|status| status.code().unwrap_or(-1)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The path of a program of this workspace, beside the running test.
#[must_use]
pub fn program(name: &str) -> PathBuf {
    let mut path = std::env::current_exe().unwrap_or_default();
    path.pop();
    if path.ends_with("deps") || path.ends_with("examples") {
        path.pop();
    }
    path.join(name)
}
