//! Each fault of the users' backend server shows on kept connections what its description says.

use limpetmux_standins::users::{FurtherAnswer, FurtherTime, UsersFault, UsersServer};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const NOT_RUN: &str = "x-limpetmux-not-executed: 1\r\n";
/// The time after which a connection counts as silent.
const SILENCE: Duration = Duration::from_millis(200);
/// The longest that a machine under load may take for an answer that has to arrive.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// A backend server with a connection that is kept open.
struct Kept {
    server: UsersServer,
    stream: TcpStream,
}

impl Kept {
    async fn start(fault: UsersFault) -> std::io::Result<Self> {
        let server = UsersServer::start("s").await?;
        server.set_fault(fault);
        let stream = TcpStream::connect(server.addr).await?;
        Ok(Self { server, stream })
    }

    /// Sends a request and returns all bytes that arrive until a number of answers has arrived and
    /// the connection is silent.
    async fn send(
        &mut self,
        [path, id, body]: [&str; 3],
        expected: usize,
    ) -> std::io::Result<String> {
        let length = body.len();
        let head = format!("POST {path} HTTP/1.1\r\nhost: s\r\nx-limpetmux-request-id: {id}\r\n");
        let request = format!("{head}content-length: {length}\r\n\r\n{body}");
        self.stream.write_all(request.as_bytes()).await?;
        let mut received = Vec::new();
        let mut buffer = [0; 4096];
        loop {
            let is_whole = answers(&String::from_utf8_lossy(&received)).len() >= expected;
            let time = if is_whole { SILENCE } else { MAX_WAIT };
            match timeout(time, self.stream.read(&mut buffer)).await {
                Err(_) | Ok(Ok(0)) => break,
                Ok(read) => received.extend(&buffer[..read?]),
            }
        }
        Ok(String::from_utf8_lossy(&received).into_owned())
    }
}

/// Returns the status and the id of each answer in the received bytes.
fn answers(received: &str) -> Vec<(u16, Option<&str>)> {
    let answers = received.split("HTTP/1.").skip(1);
    let status = |text: &str| text.split(' ').nth(1).and_then(|s| s.parse().ok());
    let id = |text| str::lines(text).find_map(|l| l.strip_prefix("x-limpetmux-request-id: "));
    answers.map(|text| (status(text).unwrap_or_default(), id(text))).collect()
}

/// Returns how many answers arrive after the first and after the second request.
fn counts(time: FurtherTime) -> (usize, usize) {
    if time == FurtherTime::BeforeNext { (1, 2) } else { (2, 1) }
}

#[tokio::test]
async fn further_answer_arrives_under_the_earlier_id_and_the_next_request_runs() {
    let mut cases = Vec::new();
    for status in [503, 429, 421, 409, 400, 500, 200] {
        for named in [true, false] {
            for time in [FurtherTime::WithAnswer, FurtherTime::Late, FurtherTime::BeforeNext] {
                cases.push(FurtherAnswer { status, named, time });
            }
        }
    }

    let sent = cases.iter().map(|further| async {
        let mut kept = Kept::start(UsersFault::Further(*further)).await?;
        let (in_first, in_second) = counts(further.time);
        let first = kept.send(["/once/x", "1f", "body"], in_first).await?;
        kept.server.set_fault(UsersFault::None);
        let second = kept.send(["/once/x", "2f", "body"], in_second).await?;
        Ok::<_, std::io::Error>((first, second, kept.server.requests().len()))
    });
    let sent = futures::future::join_all(sent).await;

    for (further, sent) in cases.iter().zip(sent) {
        let (first, second, runs) = sent.expect("answers");
        let all = first.clone() + &second;
        let id = further.named.then_some("1f");
        let expected = [(200, Some("1f")), (further.status, id), (200, Some("2f"))];
        assert_eq!(answers(&all), expected, "{further:?}");
        assert_eq!(answers(&first).len(), counts(further.time).0, "{further:?}");
        let refusals = usize::from(![200, 500].contains(&further.status));
        assert_eq!(all.matches(NOT_RUN).count(), refusals, "{further:?}");
        assert_eq!(runs, 2, "{further:?}");
    }
}

#[tokio::test]
async fn refusals_do_not_run_and_failures_of_runs_do() {
    let (own, unnamed) = (Some("1f"), None);
    for (fault, status, id, runs) in [
        (UsersFault::Refused, 503, own, 0),
        (UsersFault::UnnamedRefusal, 503, unnamed, 0),
        (UsersFault::RefusedAsSuccess, 200, own, 0),
        (UsersFault::Failed(408), 408, own, 1),
        (UsersFault::Failed(503), 503, own, 1),
        (UsersFault::Unnamed, 200, unnamed, 1),
    ] {
        let mut kept = Kept::start(fault).await.expect("a connection");

        let received = kept.send(["/stream/x", "1f", "body"], 1).await.expect("an answer");
        kept.server.set_fault(UsersFault::None);
        let after = kept.send(["/stream/x", "2f", "body"], 1).await.expect("an answer");

        assert_eq!(answers(&received), [(status, id)], "{fault:?}");
        assert_eq!(received.contains(NOT_RUN), runs == 0, "{fault:?}");
        assert_eq!(answers(&after), [(200, Some("2f"))], "{fault:?}");
        assert_eq!(kept.server.requests().len(), runs + 1, "{fault:?}");
    }
}

#[tokio::test]
async fn resets_follow_the_start_of_the_run() {
    for fault in [UsersFault::ResetRun, UsersFault::ResetHead] {
        let mut kept = Kept::start(fault).await.expect("a connection");

        let received = kept.send(["/once/x", "1f", "body"], 1).await;

        let error = received.expect_err("a reset").kind();
        assert_eq!(error, std::io::ErrorKind::ConnectionReset, "{fault:?}");
        assert_eq!(kept.server.requests().len(), 1, "{fault:?}");
    }
}

#[tokio::test]
async fn further_answer_of_a_stage_names_other_results_of_the_earlier_request() {
    let time = FurtherTime::BeforeNext;
    let further = FurtherAnswer { status: 200, named: true, time };
    let mut kept = Kept::start(UsersFault::Further(further)).await.expect("a connection");
    let call = |id: &str| format!(r#"{{"items":[{{"id":"{id}","stage":0,"piece":1,"key":"k"}}]}}"#);

    let first = kept.send(["/stage-run", "", &call("1f")], 1).await.expect("an answer");
    kept.server.set_fault(UsersFault::None);
    let second = kept.send(["/stage-run", "", &call("2f")], 2).await.expect("an answer");

    let results = kept.server.stage_results();
    let owner = |handle: &str| results[handle].request.clone();
    let all = first + &second;
    let handles: Vec<&str> = all.split("\"handle\":\"").skip(1).collect();
    let handles = handles.into_iter().filter_map(|text| text.split('"').next());
    let owners: Vec<String> = handles.map(owner).collect();
    assert_eq!(owners, ["1f", "1f", "2f"]);
    assert_eq!(results.len(), 3);
}
