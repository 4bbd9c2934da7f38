//! Configuration records in several schema versions, records of a newer daemon, and concurrent publishers.

use crate::support::{HOSTS, TestFleet, client_of, done, engine_call, start_fleet};
use fulmarswitch_caller::client::{CallerClient, CallerError};
use fulmarswitch_caller::wire::ErrorKind;
use fulmarswitch_demo::fleet::LocalFleet;
use fulmarswitch_http::HttpClient;
use fulmarswitch_operator::{PublishCall, RecordReply};
use fulmarswitch_records::record::{LogRecord, RecordBody, UnknownBody};
use fulmarswitch_records::{ConfigChange, Epoch, HostIdentity, RecordId, ShardIndex, encode_frame};
use fulmarswitch_standins::engine::whole_answer;
use hyper::Method;
use serde_json::{Value, json};
use std::time::Duration;

/// Generous limit for each wait of a test.
const TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test(flavor = "multi_thread")]
async fn older_and_newer_schema_versions_coexist() {
    let TestFleet { mut fleet, .. } = start_fleet().await;
    let older = json!({"protocol": "engine", "model": "m1"});
    let newer = json!({"protocol": "engine", "model": "m1", "prefix_affinity": false});
    // One record changes from schema 1 to 2 and back, as when publishers of both versions alternate.
    let turns = [(1, &older), (2, &newer), (1, &older)];
    for (base, (schema, body)) in turns.into_iter().enumerate() {
        let call = PublishCall {
            base_version: u64::try_from(base).expect("small"),
            schema,
            body: body.clone(),
        };
        let host = HOSTS[base % HOSTS.len()];
        let record = put(&client_of(&mut fleet, host), "service/turns", &call).await;
        assert_eq!(record.expect("accepted").version, call.base_version + 1);
        let name = "service/turns";
        assert_applied_on_all_hosts(&mut fleet, name, base as u64 + 1, schema, body).await;
    }
    let published = fleet.publish("service/newer", 2, newer.clone()).await;
    published.expect("the record is new");
    let endpoint = json!({
        "service": "newer",
        "address": fleet.endpoint("engine-1").address,
        "failure_domain": "local",
    });
    let published = fleet.publish("endpoint/newer-1", 1, endpoint).await;
    published.expect("the record is new");
    fleet
        .wait_converged()
        .await
        .expect("all hosts read the configuration");
    for (number, service) in ["diagassist", "newer"].into_iter().enumerate() {
        let mut call = engine_call(&format!("schema-{number}"), 8);
        call.service = service.into();
        let answer = client_of(&mut fleet, "b").request(&call).await;
        let expected = whole_answer(&call.input, call.max_tokens);
        assert_eq!(answer.expect("answered").outcome, done(expected));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn records_of_a_newer_program_are_kept_and_served() {
    let TestFleet { mut fleet, .. } = start_fleet().await;
    let body = json!({"requests": 7, "window": "minute"});
    let change = ConfigChange {
        name: "quota/workshop".into(),
        base_version: 0,
        schema: 3,
        body: body.to_string().into(),
    };
    let unknown = UnknownBody {
        kind: 999,
        version: 4,
        bytes: vec![1, 2, 3],
    };
    let records: Vec<LogRecord> = [RecordBody::Unknown(unknown), RecordBody::Config(change)]
        .into_iter()
        .enumerate()
        .map(|(sequence, body)| newer_record(sequence as u64, body))
        .collect();
    let frame = encode_frame(&records).expect("the frame can be written");
    let url = format!("http://{}/streams/config", fleet.platform.address);
    let appended = HttpClient::new()
        .call(Method::POST, &url, frame.into())
        .await;
    assert!(appended.expect("the log answers").status.is_success());
    assert_applied_on_all_hosts(&mut fleet, "quota/workshop", 1, 3, &body).await;

    // A host started afterwards reads the same records, and the hosts still serve requests.
    let mut stopping = fleet.remove_host("c");
    let signalled = stopping.process.signal(rustix::process::Signal::TERM);
    signalled.expect("the host runs");
    let status = stopping.process.wait(TIMEOUT).await;
    assert!(status.expect("the host stops").success());
    let added = fleet.add_host("c", "domain-c", "").await;
    added.expect("the host starts");
    assert_applied_on_all_hosts(&mut fleet, "quota/workshop", 1, 3, &body).await;
    let call = engine_call("after-newer", 8);
    let answer = client_of(&mut fleet, "c").request(&call).await;
    let expected = whole_answer(&call.input, call.max_tokens);
    assert_eq!(answer.expect("answered").outcome, done(expected));
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_several_concurrent_publishers_wins_and_the_others_get_a_conflict() {
    let TestFleet { mut fleet, .. } = start_fleet().await;
    let clients = HOSTS.map(|host| client_of(&mut fleet, host));
    let calls = [1, 2, 3].map(|weight| PublishCall {
        base_version: 1,
        schema: 1,
        body: json!({"batch_weight": weight}),
    });
    let name = "workspace/workshop";
    let results = futures::future::join_all(
        clients
            .iter()
            .zip(&calls)
            .map(|(client, call)| put(client, name, call)),
    )
    .await;
    let accepted: Vec<&RecordReply> = results
        .iter()
        .filter_map(|result| result.as_ref().ok())
        .collect();
    assert_eq!(accepted.len(), 1, "{results:?}");
    for result in &results {
        if let Err(error) = result {
            let CallerError::Refused { reply } = error else {
                panic!("{error}");
            };
            assert_eq!(reply.kind, ErrorKind::Conflict, "{reply:?}");
        }
    }
    let body = accepted[0].body.clone();
    assert_applied_on_all_hosts(&mut fleet, name, 2, 1, &body).await;
}

async fn put(
    client: &CallerClient,
    name: &str,
    call: &PublishCall,
) -> Result<RecordReply, CallerError> {
    let path = format!("/v1/config/{name}");
    client.send_json(Method::PUT, &path, call).await
}

/// Waits until every host has applied this version of a record, and checks that it is served as published.
async fn assert_applied_on_all_hosts(
    fleet: &mut LocalFleet,
    name: &str,
    version: u64,
    schema: u16,
    body: &Value,
) {
    for host in HOSTS {
        let client = client_of(fleet, host);
        let path = format!("/v1/config/{name}");
        let applied = tokio::time::timeout(TIMEOUT, async {
            loop {
                if let Ok(record) = client.get_once::<RecordReply>(&path).await
                    && record.version >= version
                {
                    return record;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        });
        let record = applied.await.expect("the record is applied in time");
        assert_eq!((record.version, record.schema), (version, schema), "{host}");
        assert_eq!(record.body, *body, "{host}");
    }
}

fn newer_record(sequence: u64, body: RecordBody) -> LogRecord {
    let writer = HostIdentity {
        name: "newer".into(),
        incarnation: 1,
    };
    LogRecord {
        id: RecordId { writer, sequence },
        shard: ShardIndex(0),
        epoch: Epoch(0),
        stamp: 1,
        body,
    }
}
