//! The line of each action, compared byte for byte.

use super::*;
use gateway_core::{AttemptNumber, GatewayId, RequestId, ServerId, Timestamp, Warning};

#[test]
fn appends_each_action_as_one_line() {
    let id = RequestId("rq_a".into());
    let server = ServerId(51);
    let cases = [
        (
            Action::SendAttempt {
                id: id.clone(),
                server,
                timeout: None,
                write_deadline: None,
            },
            "send\ti=3\tcall=rq_a\tserver=51\n",
        ),
        (
            Action::SendAttempt {
                id: id.clone(),
                server,
                timeout: Some(Duration::from_micros(250)),
                write_deadline: Some(Timestamp::from_micros(750)),
            },
            "send\ti=3\tcall=rq_a\tserver=51\ttryForUs=250\n",
        ),
        (
            Action::Reject {
                id: id.clone(),
                retry_after: None,
            },
            "not_now\ti=3\tcall=rq_a\n",
        ),
        (
            Action::Reject {
                id: id.clone(),
                retry_after: Some(Duration::ZERO),
            },
            "not_now\ti=3\tcall=rq_a\tretryInUs=0\n",
        ),
        (
            Action::Fail { id: id.clone() },
            "finish_error\ti=3\tcall=rq_a\n",
        ),
        (
            Action::CancelAttempt {
                id,
                attempt: AttemptNumber(2),
            },
            "revoke\ti=3\tcall=rq_a\tshot=2\n",
        ),
        (
            Action::Broadcast { bytes: vec![] },
            "tell\ti=3\taddressee=*\tblob=-\n",
        ),
        (
            Action::SendToPeer {
                to: GatewayId(8),
                bytes: vec![0, 0x0f, 0xff],
            },
            "tell\ti=3\taddressee=8\tblob=000fff\n",
        ),
        (
            Action::SetTimer {
                after: Duration::from_micros(10),
                token: 4,
            },
            "defer\ti=3\tdelayUs=10\tnonce=4\n",
        ),
        (Action::WatchEndpoints, "track\ti=3\tactive=1\n"),
        (
            Action::Warn(Warning::ServerStalled { server }),
            "say_log\ti=3\twords=server 51 stalled: ejected until a probe succeeds\n",
        ),
    ];
    for (action, expected) in cases {
        let mut reply = "before\n".to_owned();
        append(&mut reply, 3, &action);
        assert_eq!(reply, format!("before\n{expected}"));
    }
}
