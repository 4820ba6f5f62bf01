//! Tests what a pending request keeps of the request that the client sent.

use super::super::call_terms::CallTerms;
use super::*;
use gateway_core::{ClassId, CustomerId, GatewayId, GatewaySet, PlanId, Units};
use std::sync::Arc;

/// A read buffer with an idempotency key; its only other reference shows whether it is still in use.
struct ReadBuffer {
    bytes: Vec<u8>,
    _in_use: Arc<()>,
}

impl AsRef<[u8]> for ReadBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns the head of a request of a keyed class.
fn keyed_head() -> RequestHead {
    RequestHead {
        id: RequestId("a".into()),
        class: ClassId(0),
        plan: PlanId(0),
        customer: CustomerId(7),
        terms: CallTerms {
            units: Units::new(1.0),
            gateways: GatewaySet {
                first: GatewayId(0),
                count: 1,
            },
        },
        client_timeout: Duration::from_secs(1),
        allows_body: true,
    }
}

/// Guards against requests that keep hyper's read buffer of 8 KiB or more for a key of a few bytes,
/// as long as they wait for their server.
#[test]
fn pending_request_does_not_keep_read_buffer_of_its_key() {
    let in_use = Arc::new(());
    let read_buffer = ReadBuffer {
        bytes: b"5c0f6e1a and the rest of the head".to_vec(),
        _in_use: Arc::clone(&in_use),
    };
    let view = Bytes::from_owner(read_buffer).slice(..8);
    let key = HeaderValue::from_maybe_shared(view).expect("valid header value");
    let received = Request::builder().header(IDEMPOTENCY_KEY, key).body(());
    let (parts, ()) = received.expect("valid request").into_parts();
    assert_eq!(Arc::strong_count(&in_use), 2);
    let forwarded = ForwardedHead::copy_of(parts, &MemoryBudget::new(0));
    let forwarded = forwarded.expect("a short head needs no memory of the budget");
    assert_eq!(Arc::strong_count(&in_use), 1, "released before the body");
    let times = RequestTimes {
        received_at: Instant::now(),
        answer_limit: None,
    };
    let request = ValidRequest::new(keyed_head(), forwarded, Bytes::new(), times);
    let key = request.upstream_request.idempotency_key;
    assert_eq!(key.expect("the key is forwarded"), "5c0f6e1a");
}
