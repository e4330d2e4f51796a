//! Tests of settings and of the findings in invalid settings.

use crate::settings::VmSettings;

const VALID: &str = r#"{
  // A VM of the first data centre.
  "vm": "celje-1",
  "data_centre": "celje",
  "data_centres": ["celje", "ptuj"],
  "listen": { "callers": "127.0.0.1:8080", "operators": "127.0.0.1:8081", "peers": "127.0.0.1:8082" },
  "platform": "127.0.0.1:9000",
  "tls": { "authority": "a.pem", "certificate": "b.pem", "private_key": "c.pem" },
  "operator_key_sha256": "0000000000000000000000000000000000000000000000000000000000000000",
  "pool": { "yielding": "revoke" },
}"#;

fn lines(text: &str) -> Vec<String> {
    VmSettings::parse("vm.json", text).err().map(|findings| findings.lines()).unwrap_or_default()
}

#[test]
fn valid_settings_are_read() {
    let settings = VmSettings::parse("vm.json", VALID).unwrap();
    assert_eq!(settings.vm.as_str(), "celje-1");
    assert_eq!(settings.data_centres.len(), 2);
    assert_eq!(settings.jobs.chunk_items, 1000);
}

#[test]
fn all_findings_are_reported_with_their_place() {
    let text = VALID
        .replace("\"celje-1\"", "7")
        .replace("[\"celje\", \"ptuj\"]", "[\"ptuj\"]")
        .replace("127.0.0.1:8081", "nowhere")
        .replace("\"certificate\"", "\"certifcate\"")
        .replace("0000000000\"", "\"")
        .replace("\"revoke\"", "\"sometimes\"");
    insta::assert_json_snapshot!(lines(&text), @r#"
    [
      "vm.json:3:9: `vm` must be a string that is not empty",
      "vm.json:4:18: `celje` is not one of `data_centres`",
      "vm.json:6:57: `operators` must be an address such as `127.0.0.1:8080`",
      "vm.json:8:10: `certificate` is missing",
      "vm.json:8:34: unknown field `certifcate`",
      "vm.json:9:26: `000000000000000000000000000000000000000000000000000000` is not a hash of 64 hexadecimal digits",
      "vm.json:10:25: `yielding` must be one of `none`, `static_reserve`, `revoke`"
    ]
    "#);
}

#[test]
fn broken_json_is_one_finding() {
    insta::assert_json_snapshot!(lines("{ \"vm\": \"a\" \"b\": 1 }").len(), @"1");
    insta::assert_json_snapshot!(lines("[]"), @r#"
    [
      "vm.json:1:1: expected an object"
    ]
    "#);
}
