//! The head of an answer proves something only of the request whose id it carries.

use limpetmux::core::answer_proof::{
    AnswerClaims, AnswerOwner, Proof, StatusClass, Unusable, proof,
};

/// Returns every combination of what a head can state.
fn all_claims() -> Vec<AnswerClaims> {
    let mut all = Vec::new();
    for owner in [AnswerOwner::Sent, AnswerOwner::Another, AnswerOwner::Unnamed] {
        for status in [StatusClass::Success, StatusClass::Guarantee, StatusClass::Other] {
            for (unrun, signed) in [(false, false), (false, true), (true, false), (true, true)] {
                all.push(AnswerClaims { owner, status, unrun, signed });
            }
        }
    }
    all
}

#[test]
fn answer_of_another_request_proves_nothing_whatever_it_states() {
    // Guards against a refusal of another request that is taken for this one's (incident REFUSED
    // and TWICE).
    let foreign = all_claims().into_iter().filter(|c| c.owner != AnswerOwner::Sent);

    for claims in foreign {
        assert_eq!(proof(claims), Proof::Nothing(Unusable::Foreign), "{claims:?}");
    }
}

#[test]
fn only_the_statement_of_a_refusal_proves_that_nothing_ran() {
    // Guards against a status that is taken for the statement that nothing ran (incident REFUSED
    // and TWICE).
    for claims in all_claims() {
        let refuses = claims.unrun && claims.status != StatusClass::Success;
        let expected = claims.owner == AnswerOwner::Sent && refuses;

        assert_eq!(proof(claims) == Proof::NotRun, expected, "{claims:?}");
    }
}

#[test]
fn callers_get_no_answer_whose_status_guarantees_that_nothing_ran() {
    // Guards against the status of a run that failed, which its caller reads as a refusal (incident
    // REFUSED and TWICE).
    for claims in all_claims() {
        let failed = claims.status == StatusClass::Other;
        let served = claims.status == StatusClass::Success && claims.signed;
        let own = claims.owner == AnswerOwner::Sent && !claims.unrun;

        assert_eq!(proof(claims) == Proof::Answered, own && (served || failed), "{claims:?}");
    }
}
