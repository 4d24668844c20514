use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};

use derive_more::{Display, Error, From};

/// An error that prevents a test from going on.
#[derive(Debug, Display, Error, From)]
pub enum ProofError {
    /// An operation on a process, a file or a socket failed.
    #[display("{_0}")]
    Io(std::io::Error),
    /// A process did not print the address that it listens on.
    #[display("{program} did not start; its first line was {output:?}")]
    #[from(ignore)]
    NotStarted {
        /// The program.
        program: String,
        /// The first line of its output.
        output: String,
    },
    /// A call failed.
    #[display("{_0}")]
    Call(comfreymast_net::DialError),
    /// A request over HTTP/2 failed.
    #[display("{_0}")]
    Http(hyper::Error),
    /// A request is not valid HTTP.
    #[display("{_0}")]
    Request(hyper::http::Error),
    /// A condition was not met in time.
    #[display("not seen within {limit_ms} ms: {what}")]
    #[from(ignore)]
    NotSeen {
        /// The condition.
        what: String,
        /// The time allowed.
        limit_ms: u64,
    },
}

/// One child process. Dropping the handle kills the process.
#[derive(Debug)]
pub struct Process {
    child: Child,
    listening_on: String,
}

impl Process {
    /// Starts `command` and waits for its first line, which begins with `listening on `.
    ///
    /// # Errors
    ///
    /// [`ProofError::Io`] or [`ProofError::NotStarted`].
    pub fn start(command: Command) -> Result<Self, ProofError> {
        Ok(Self::start_and_read_first_line(command)?.0)
    }

    /// Starts `command` as [`Process::start`] does, and appends its output after the first line to
    /// the file at `log`.
    ///
    /// # Errors
    ///
    /// [`ProofError::Io`] or [`ProofError::NotStarted`].
    pub fn start_logged(command: Command, log: &Path) -> Result<Self, ProofError> {
        let mut file = File::options().create(true).append(true).open(log)?;
        let (process, remaining_output) = Self::start_and_read_first_line(command)?;
        if let Some(mut remaining_output) = remaining_output {
            // The thread ends with the process, because its output is closed then.
            std::thread::spawn(move || std::io::copy(&mut remaining_output, &mut file));
        }
        Ok(process)
    }

    fn start_and_read_first_line(
        mut command: Command,
    ) -> Result<(Self, Option<BufReader<ChildStdout>>), ProofError> {
        let program = command.get_program().to_string_lossy().into_owned();
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn()?;
        let mut first_line = String::new();
        let mut remaining_output = child.stdout.take().map(BufReader::new);
        if let Some(stdout) = remaining_output.as_mut() {
            stdout.read_line(&mut first_line)?;
        }
        let mut process = Self { child, listening_on: first_line.clone() };
        match first_line.trim_end().strip_prefix("listening on ") {
            Some(listening) => {
                process.listening_on = listening.to_owned();
                Ok((process, remaining_output))
            }
            None => Err(ProofError::NotStarted { program, output: first_line }),
        }
    }

    /// The rest of the first line, after `listening on `.
    #[must_use]
    pub fn listening(&self) -> &str {
        &self.listening_on
    }

    /// The process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends `SIGKILL` to the process and waits for its end.
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
    /// [`ProofError::Io`] when the state of the process cannot be read.
    pub fn exit_code(&mut self) -> Result<Option<i32>, ProofError> {
        Ok(self.child.try_wait()?.map(|status| status.code().unwrap_or(-1)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The path of a program of this workspace, in the target directory of the running test.
#[must_use]
pub fn program(name: &str) -> PathBuf {
    let mut path = std::env::current_exe().unwrap_or_default();
    path.pop();
    if path.ends_with("deps") || path.ends_with("examples") {
        path.pop();
    }
    path.join(name)
}
