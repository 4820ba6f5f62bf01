//! Tests of clients: their demand, their choice of gateways and their retries.

use crate::common::{clients, MILLISECOND};
use fleet_lab::world::client_request::ClientError;
use fleet_lab::world::START;
use gateway_core::ClassId;
use std::time::Duration;

#[test]
fn clients_send_expected_demand_to_own_gateways_at_uneven_rates() {
    const GATEWAYS: u32 = 6;
    let demand = 400.0;
    let mut clients = clients(demand);
    let mut by_gateway = vec![0_u32; GATEWAYS as usize];
    let (mut requests, seconds) = (0_u32, 20);
    for index in 0..clients.customers.len() {
        let mut now = START;
        while let Some(at) = clients
            .next_arrival(now, index)
            .filter(|at| *at < START + Duration::from_secs(seconds))
        {
            now = at;
            requests += 1;
            let request = clients.new_request(now, index);
            let Some(to) = clients.pick_gateway(now, &request, GATEWAYS, |_| false) else {
                panic!("no gateway was picked")
            };
            let customer = &clients.customers[index];
            let offset = (to.0 + GATEWAYS - customer.first_gateway.0) % GATEWAYS;
            assert!(
                offset < customer.gateway_count && (0.5..=8.0).contains(&request.estimated_units)
            );
            by_gateway[to.0 as usize] += 1;
            let elsewhere = clients.pick_gateway(now, &request, GATEWAYS, |gateway| gateway == to);
            assert!(elsewhere != Some(to));
        }
    }
    // The demand within the quotas is 400 requests per second; demand beyond the quotas adds to
    // this rate.
    let rate = f64::from(requests) / seconds as f64;
    assert!(rate > demand && rate < 3.0 * demand, "{rate}");
    assert!(
        by_gateway.iter().max() > by_gateway.iter().min(),
        "{by_gateway:?}"
    );
}

#[test]
fn retries_once_after_advised_delay_and_only_if_repetition_is_harmless() {
    let mut clients = clients(50.0);
    let mut request = clients.new_request(START, 0);
    request.disconnect_at = None;
    request.class = ClassId(1);
    let rejected = |retry_after| ClientError::Rejected { retry_after };
    let retry = clients
        .retry(START, &request, rejected(Some(70 * MILLISECOND)))
        .expect("client retries");
    assert_eq!(
        (retry.at, retry.request.retries),
        (START + 70 * MILLISECOND, 1)
    );
    assert_eq!(retry.request.deadline, request.deadline);
    assert!(
        clients
            .retry(START, &retry.request, rejected(None))
            .is_none(),
        "second retry"
    );
    assert!(
        clients
            .retry(START, &request, ClientError::Failed)
            .is_none(),
        "non-idempotent request may have run"
    );
    assert!(clients
        .retry(START, &request, ClientError::Unreachable)
        .is_some());
    request.class = ClassId(0);
    assert!(clients
        .retry(START, &request, ClientError::Failed)
        .is_some());
    assert!(
        clients
            .retry(request.deadline, &request, ClientError::Failed)
            .is_none(),
        "retry after the deadline"
    );
}
