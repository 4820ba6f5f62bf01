//! The HTTP interface of the servers, which receives attempts of real nodes.

use super::environment::Environment;
use super::servers::{AttemptReply, AttemptStatus};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{http, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::rc::Rc;
use tokio::net::TcpListener;

type HttpResponse = http::Result<Response<Full<Bytes>>>;

/// Serves the HTTP interface of the server with the given index until the end of the run.
pub(super) async fn serve(environment: Rc<Environment>, server: usize, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        // Without this option, a response in two segments would wait for an acknowledgement. An
        // error is ignored, because the connection works all the same.
        let _ = stream.set_nodelay(true);
        let environment = Rc::clone(&environment);
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| respond(&environment, server, request));
            // An error is ignored, because a node that closes its connection has cancelled its
            // attempt.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn respond(
    environment: &Environment,
    server: usize,
    request: Request<Incoming>,
) -> HttpResponse {
    let Some(id) = request_id(&request) else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    if request.into_body().collect().await.is_err() {
        return empty_response(StatusCode::BAD_REQUEST);
    }
    let server = &environment.servers[server];
    let now = environment.clock.now();
    let units = environment
        .checker
        .borrow_mut()
        .attempt_arrived(now, &id, server.id);
    let Some(units) = units else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let reply = server.handle_attempt(&environment.checker, &id).await;
    response_to_attempt(id, units, reply)
}

fn request_id<B>(request: &Request<B>) -> Option<String> {
    let id = request.headers().get("x-request-id")?;
    id.to_str().ok().map(str::to_owned)
}

/// Builds the response to an attempt. If the attempt was served, the body is the id of its request,
/// so that a node that mixes up responses is detected.
fn response_to_attempt(id: String, units: f64, reply: AttemptReply) -> HttpResponse {
    let AttemptReply { status, in_flight } = reply;
    let response = Response::builder().header("x-load", format!("concurrent={in_flight}"));
    match status {
        AttemptStatus::Served => response
            .header("x-cost-units", units.to_string())
            .body(Full::from(id)),
        AttemptStatus::Error => response
            .status(StatusCode::INTERNAL_SERVER_ERROR)
            .body(Full::default()),
        AttemptStatus::Rejected => response
            .status(StatusCode::SERVICE_UNAVAILABLE)
            .header("x-not-run", "1")
            .body(Full::default()),
    }
}

fn empty_response(status: StatusCode) -> HttpResponse {
    Response::builder().status(status).body(Full::default())
}
