//! A host of idempotency keys that answers look-ups and tables as a test decides, and nothing else.

use futures::FutureExt;
use futures::future::BoxFuture;
use limpetmux::wire::once;
use limpetmux::wire::once::once_server::Once;
use tonic::{Request, Response, Status};

/// Answers a look-up of a key.
type LookUpFn = dyn Fn() -> BoxFuture<'static, Result<once::LookUpReply, Status>> + Send + Sync;
/// Answers a table of keys.
type HandOverFn = dyn Fn() -> Result<once::HandOverReply, Status> + Send + Sync;

/// The host; by default it knows no key and takes over none.
pub struct FakeOnce {
    look_up: Box<LookUpFn>,
    hand_over: Box<HandOverFn>,
}

impl Default for FakeOnce {
    fn default() -> Self {
        Self {
            look_up: Box::new(|| std::future::ready(Ok(once::LookUpReply::default())).boxed()),
            hand_over: Box::new(|| Err(Status::unimplemented("no handover"))),
        }
    }
}

impl FakeOnce {
    /// Sets how the host answers look-ups.
    pub fn look_up<F>(self, answer: impl Fn() -> F + Send + Sync + 'static) -> Self
    where
        F: Future<Output = Result<once::LookUpReply, Status>> + Send + 'static,
    {
        Self { look_up: Box::new(move || answer().boxed()), ..self }
    }

    /// Sets how the host answers tables of keys.
    pub fn hand_over(
        self,
        answer: impl Fn() -> Result<once::HandOverReply, Status> + Send + Sync + 'static,
    ) -> Self {
        Self { hand_over: Box::new(answer), ..self }
    }
}

#[tonic::async_trait]
impl Once for FakeOnce {
    async fn promise(
        &self,
        _: Request<once::PromiseRequest>,
    ) -> Result<Response<once::PromiseReply>, Status> {
        Err(Status::unimplemented("no promise"))
    }

    async fn forward_claims(
        &self,
        _: Request<once::ForwardClaimsRequest>,
    ) -> Result<Response<once::ForwardClaimsReply>, Status> {
        Err(Status::unimplemented("no claims"))
    }

    async fn hand_over(
        &self,
        _: Request<once::HandOverRequest>,
    ) -> Result<Response<once::HandOverReply>, Status> {
        (self.hand_over)().map(Response::new)
    }

    async fn look_up(
        &self,
        _: Request<once::LookUpRequest>,
    ) -> Result<Response<once::LookUpReply>, Status> {
        (self.look_up)().await.map(Response::new)
    }
}
