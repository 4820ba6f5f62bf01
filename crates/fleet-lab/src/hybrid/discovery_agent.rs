//! The discovery agent of a real node, which serves the list of servers over HTTP by watches.

use super::environment::Environment;
use bytes::Bytes;
use gateway_core::GatewayId;
use http_body_util::channel::Sender;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Channel, Empty};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{http, Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Longest time between two lines of a watch; without a change, an empty line is sent.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of lines that are buffered for each watch.
const BUFFERED_LINES: usize = 16;
/// HTTP path of the list of servers.
const LIST_PATH: &str = "/api/targets";

/// Serves the list to one real node until the end of the run.
pub(super) async fn serve(environment: Rc<Environment>, node: GatewayId, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let environment = Rc::clone(&environment);
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                let response = open_watch(&environment, node, &request);
                async move { response }
            });
            // Errors are ignored, because the node may close a watch at any time.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

fn open_watch<B>(
    environment: &Rc<Environment>,
    node: GatewayId,
    request: &Request<B>,
) -> http::Result<Response<BoxBody<Bytes, Infallible>>> {
    let query = request.uri().query().unwrap_or("");
    let is_watch = query.split('&').any(|part| part == "watch=1");
    if request.method() != Method::GET || request.uri().path() != LIST_PATH || !is_watch {
        return Response::builder()
            .status(StatusCode::NOT_FOUND)
            .body(Empty::new().boxed());
    }
    let (lines, body) = Channel::new(BUFFERED_LINES);
    tokio::task::spawn_local(send_updates(Rc::clone(environment), node, lines));
    Response::builder().body(body.boxed())
}

/// Sends the whole list and then each change, until the connection ends.
async fn send_updates(environment: Rc<Environment>, node: GatewayId, mut lines: Sender<Bytes>) {
    let mut versions = environment.registry.subscribe();
    let mut sent_version = 0;
    loop {
        let version = *versions.borrow_and_update();
        let line = if version > sent_version {
            format!("{}\n", environment.registry.json_since(sent_version))
        } else {
            "\n".to_owned()
        };
        if lines.send_data(line.into()).await.is_err() {
            return;
        }
        environment.record_update(node, &environment.registry.changes_since(sent_version));
        sent_version = version;
        if !wait_for_next_line(&mut versions).await {
            return;
        }
    }
}

/// Waits for a new version of the list or for the next keepalive line. Returns false if no further
/// version can follow.
async fn wait_for_next_line(versions: &mut watch::Receiver<u64>) -> bool {
    !matches!(
        tokio::time::timeout(KEEPALIVE_INTERVAL, versions.changed()).await,
        Ok(Err(_))
    )
}
