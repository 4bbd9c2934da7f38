//! Publishes and returns configuration records.

use super::Frontend;
use super::online::{check_name, parse_body, read_limited};
use super::reply::CallError;
use fulmarswitch_decide::config::ConfigEntry;
use fulmarswitch_decide::shard::ApplyResult;
use fulmarswitch_http::{HttpRequest, HttpResponse, json_response};
use fulmarswitch_operator::{PublishCall, RecordReply, to_config_change};
use fulmarswitch_records::{Epoch, RecordBody, ShardIndex};
use hyper::StatusCode;
use std::sync::Arc;
use std::time::Duration;

/// Time that a publication waits for its record to be appended and read back.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(3);
/// Retry delay in milliseconds while the log is unavailable or the append queue is full.
const LOG_OUTAGE_RETRY_MS: u64 = 2_000;

impl Frontend {
    pub(super) async fn publish(
        &self,
        kind: &str,
        name: &str,
        request: HttpRequest,
    ) -> Result<HttpResponse, CallError> {
        check_name("the record's name", name)?;
        let name = format!("{kind}/{name}");
        let call: PublishCall = parse_body(&read_limited(request).await?)?;
        let change = to_config_change(&name, &call);
        let bad_input = |error: String| CallError::BadInput {
            reason: error.into(),
        };
        change
            .parse_strict()
            .map_err(|error| bad_input(error.to_string()))?;
        if !self.fleet.config.is_log_available() {
            let reason = "the log does not answer; the change was not published".into();
            return Err(CallError::Refused {
                reason,
                retry_after_ms: LOG_OUTAGE_RETRY_MS,
            });
        }
        let body = RecordBody::Config(change);
        let receiver = self.fleet.config.append(ShardIndex(0), Epoch(0), body);
        let receiver = receiver.map_err(|error| CallError::Refused {
            reason: error.to_string().into(),
            retry_after_ms: LOG_OUTAGE_RETRY_MS,
        })?;
        let Ok(Ok(appended)) = tokio::time::timeout(PUBLISH_TIMEOUT, receiver).await else {
            return Err(CallError::Unknown);
        };
        if appended.result != ApplyResult::Applied {
            let current = self.fleet.view().config.version_of(&name);
            let reason = format!(
                "{name} is at version {current}, not {}; read it and publish again",
                call.base_version
            );
            return Err(CallError::Conflict {
                reason: reason.into(),
            });
        }
        self.context.events.emit(
            "config",
            &name,
            &format!("version {}", call.base_version + 1),
        );
        let reply = RecordReply {
            name: name.into(),
            version: call.base_version + 1,
            schema: call.schema,
            body: call.body,
            offset: appended.place.offset.0,
        };
        Ok(json_response(StatusCode::OK, &reply))
    }

    pub(super) fn read_config(&self, kind: &str, name: &str) -> Result<HttpResponse, CallError> {
        let view = self.fleet.view();
        let entry = view.config.get(&format!("{kind}/{name}"));
        let entry = entry.ok_or(CallError::NotFound { what: "the record" })?;
        Ok(json_response(StatusCode::OK, &record_reply(entry)))
    }

    pub(super) fn list_config(&self) -> HttpResponse {
        let view = self.fleet.view();
        let records: Vec<RecordReply> = view.config.all().map(record_reply).collect();
        json_response(StatusCode::OK, &records)
    }
}

fn record_reply(entry: &ConfigEntry) -> RecordReply {
    RecordReply {
        name: Arc::clone(&entry.change.name),
        version: entry.version,
        schema: entry.change.schema,
        body: serde_json::from_str(&entry.change.body).unwrap_or_default(),
        offset: entry.offset.0,
    }
}
