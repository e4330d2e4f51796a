//! Tests of the timelines of requests, items and jobs.

use super::timeline;

const VM1: &str = r#"{"ts_ms":500,"level":"INFO","event":"store lost","table":"op"}
{"ts_ms":9000,"level":"WARN","event":"peer lost","vm":"vm3"}
{"ts_ms":10000,"level":"INFO","event":"attempt","id":"r1","outcome":"Ran","run":1,"target_id":"t1"}
{"ts_ms":10200,"level":"INFO","event":"target gone","target_id":"t1"}
{"ts_ms":10210,"level":"INFO","event":"answer broke off","id":"r1","reason":"lost: reset","target_id":"t1"}
not a log line
{"ts_ms":10220,"level":"INFO","event":"request refused","id":"r1","outcome":"failed","held_ms":220}
{"ts_ms":10300,"level":"INFO","event":"request refused","id":"r2","outcome":"busy","held_ms":0}
"#;
const VM2: &str = r#"{"ts_ms":10100,"level":"WARN","event":"peer lost","vm":"vm1"}
{"ts_ms":20000,"level":"INFO","event":"job handed in","job":"j1","items":2,"outcome":"accepted"}
{"ts_ms":21000,"level":"INFO","event":"item finished","job":"zlatnik:j1","item":"i1","outcome":"not_doable"}
"#;

fn explained(id: &str) -> Option<String> {
    timeline(id, &[("vm1".into(), VM1.into()), ("vm2".into(), VM2.into())])
}

#[test]
fn request_timeline() {
    insta::assert_snapshot!(explained("r1").unwrap());
}

#[test]
fn job_and_item_timelines() {
    insta::assert_snapshot!("job", explained("j1").unwrap());
    insta::assert_snapshot!("item", explained("i1").unwrap());
}

#[test]
fn unknown_id_has_no_timeline() {
    assert_eq!(explained("r3"), None);
}
