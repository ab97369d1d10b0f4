//! Moves of keys between a home and its successor whose tables or replies are lost.

use limpetmux::core::once::{
    Action, Guards, HostId, Incarnation, KeyId, KeyTime, KeyedRequest, Node, Outcome, Record, Role,
    Rules, RunDecision, Time,
};
use limpetmux::core::refusal::RefusalCode;
use limpetmux::core::time::Moment;

const HOME: HostId = HostId(1);
const SUCCESSOR: HostId = HostId(2);
const AT_HOME: Role = Role::Home { successor: Some(SUCCESSOR) };
const AT_SUCCESSOR: Role = Role::Successor { home: HOME };
const START: u64 = 1_000_000;

fn at(ms: u64) -> Time {
    Time { now: Moment::from_millis(ms), wall: KeyTime(START + ms) }
}

/// Returns a home and its successor, both of which have read the log.
fn pair() -> (Node, Node) {
    let node = |id, incarnation| {
        let incarnation = Incarnation(incarnation);
        let mut node = Node::new(id, incarnation, Rules::default(), Guards::default(), at(0));
        node.set_log_reachable(true);
        node.mark_caught_up();
        node
    };
    (node(HOME, 1), node(SUCCESSOR, 2))
}

fn request(role: Role) -> KeyedRequest {
    let key = KeyId::from_digest(1, Some(KeyTime(START + 20_000)));
    KeyedRequest { key, body: 7, role }
}

/// Returns whether a home runs the key, after it has read back a claim where one is needed.
fn runs_at_home(home: &mut Node) -> bool {
    match home.begin(request(AT_HOME), at(20_000)) {
        RunDecision::Run => true,
        RunDecision::Claim => {
            let claims = home.claims(8).unwrap();
            let actions = home.observe(home.position(), &claims, at(20_000));
            actions.contains(&Action::Run(request(AT_HOME).key))
        }
        _ => false,
    }
}

/// Returns whether a successor runs the key after it has taken over.
fn runs_at_successor(successor: &mut Node) -> bool {
    let takeover = successor.take_over(HOME, at(20_100).now).unwrap();
    successor.observe(successor.position(), &takeover, at(20_100));
    successor.begin(request(AT_SUCCESSOR), at(20_200)) == RunDecision::Run
}

#[test]
fn refused_table_does_not_give_keys_back_while_an_earlier_one_may_be_used() {
    // Guards against a key that runs at its home and again at the successor, which takes over with an
    // earlier table whose reply was lost, or which it had accepted before it refused a later one.
    let (mut home, mut successor) = pair();
    let earlier = home.hand_over(SUCCESSOR).unwrap();
    assert!(successor.receive_handover(earlier));
    home.hand_over(SUCCESSOR).unwrap();

    home.resume(SUCCESSOR);

    let runs = [runs_at_home(&mut home), runs_at_successor(&mut successor)];
    assert_eq!(runs, [false, true]);
    let refused = home.begin(request(AT_HOME), at(20_000));
    assert!(matches!(refused, RunDecision::Refuse(r) if r.code == RefusalCode::NotHome));
}

#[test]
fn refused_table_gives_keys_back_if_it_is_the_only_one() {
    let (mut home, _) = pair();
    for _ in 0..2 {
        home.hand_over(SUCCESSOR).unwrap();
        home.resume(SUCCESSOR);
    }

    assert!(runs_at_home(&mut home));
}

#[test]
fn table_that_arrives_after_the_return_of_its_keys_is_refused() {
    // Guards against a key that runs at its home, which has its keys back, and again at the successor,
    // which takes over with a table from before the return.
    let (mut home, mut successor) = pair();
    let [earlier, late] = [(); 2].map(|()| home.hand_over(SUCCESSOR).unwrap());
    assert!(successor.receive_handover(earlier));
    let takeover = successor.take_over(HOME, at(10_000).now).unwrap();
    observe([&mut home, &mut successor], &takeover, at(10_000));
    let (table, returned) = successor.return_keys(HOME).unwrap();
    home.receive_return(table);
    observe([&mut home, &mut successor], &returned, at(10_100));

    let accepted = successor.receive_handover(late);

    let runs = [runs_at_home(&mut home), runs_at_successor(&mut successor)];
    assert_eq!((accepted, runs), (false, [true, false]));
}

/// Passes the next record of the log to both hosts.
fn observe(hosts: [&mut Node; 2], record: &Record, time: Time) {
    for host in hosts {
        host.observe(host.position(), record, time);
    }
}

#[test]
fn returned_table_that_arrives_after_a_later_one_does_not_replace_it() {
    // Guards against a key that ran at the successor after its first return had failed, and runs again
    // at its home, which received the table of that return last.
    let (mut home, mut successor) = pair();
    let takeover = successor.take_over(HOME, at(10_000).now).unwrap();
    observe([&mut home, &mut successor], &takeover, at(10_000));
    let (late, _) = successor.return_keys(HOME).unwrap();
    successor.return_failed(HOME);
    let begun = successor.begin(request(AT_SUCCESSOR), at(20_000));
    successor.finish(request(AT_SUCCESSOR).key, Outcome::Unknown);
    let (table, returned) = successor.return_keys(HOME).unwrap();

    home.receive_return(table);
    home.receive_return(late);

    observe([&mut home, &mut successor], &returned, at(20_100));
    assert_eq!((begun, runs_at_home(&mut home)), (RunDecision::Run, false));
}
