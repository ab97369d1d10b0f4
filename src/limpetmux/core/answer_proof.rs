//! Decides what the head of an answer proves about the request that was sent.
//!
//! An answer that belongs to another request can arrive where the answer to this one is due, with
//! any status, so nothing that it states counts for this request. Nor does a status alone state
//! that nothing ran: a run may fail with any status. See `docs/design/not-run.md`.

use strum::IntoStaticStr;

/// Which request an answer belongs to, by the id that it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AnswerOwner {
    /// The request that was sent.
    Sent,
    /// Another request.
    Another,
    /// The answer carries no id, or more than one.
    Unnamed,
}

/// What callers read in the status of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusClass {
    /// The request was served.
    Success,
    /// The request has not run and never will.
    Guarantee,
    /// Nothing about whether the request ran.
    Other,
}

/// What the head of an answer states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerClaims {
    /// Which request the answer belongs to.
    pub owner: AnswerOwner,
    /// What callers read in its status.
    pub status: StatusClass,
    /// Whether it states that its request did not run.
    pub unrun: bool,
    /// Whether it carries the signature of the backend server.
    pub signed: bool,
}

/// What an answer proves about the request that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The backend server did not run the request.
    NotRun,
    /// The backend server answered the request; the caller may get the answer.
    Answered,
    /// Nothing: the request may have run, and the caller must not get the answer.
    Nothing(Unusable),
}

/// Why an answer proves nothing about the request that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr, thiserror::Error)]
#[strum(serialize_all = "snake_case")]
pub enum Unusable {
    /// It belongs to another request, or does not say to which.
    #[error("the answer belongs to another request")]
    Foreign,
    /// It is a success without a signature.
    #[error("the answer is not signed")]
    Unsigned,
    /// It is a success and states that the request did not run.
    #[error("the answer states both a success and that nothing ran")]
    Contradictory,
    /// Its status tells callers that the request did not run, but the answer does not state that.
    #[error("the run failed with the status of a refusal")]
    Misleading,
}

/// Returns what an answer proves about the request that was sent.
pub fn proof(claims: AnswerClaims) -> Proof {
    if claims.owner != AnswerOwner::Sent {
        return Proof::Nothing(Unusable::Foreign);
    }
    match (claims.status, claims.unrun) {
        (StatusClass::Success, true) => Proof::Nothing(Unusable::Contradictory),
        (StatusClass::Success, false) if !claims.signed => Proof::Nothing(Unusable::Unsigned),
        (StatusClass::Guarantee | StatusClass::Other, true) => Proof::NotRun,
        (StatusClass::Guarantee, false) => Proof::Nothing(Unusable::Misleading),
        (StatusClass::Success | StatusClass::Other, false) => Proof::Answered,
    }
}
