use super::*;

#[test]
fn commands_and_heartbeats_have_the_wire_format() {
    let run = Command::Run { task: "req-000412/4".into(), attempt: 2 };
    let json = serde_json::to_string(&run).unwrap();
    assert_eq!(json, r#"{"Verb":"run","Piece":"req-000412/4","Try":2}"#);
    let kill = Command::Kill { task: "req-000377/1".into(), attempt: 1, grace_s: 10.0 };
    let json = serde_json::to_string(&kill).unwrap();
    assert_eq!(json, r#"{"Verb":"kill","Piece":"req-000377/1","Try":1,"WindDownS":10.0}"#);
    let heartbeat: Heartbeat = serde_json::from_str(
        r#"{"Host":"m-000231","Addr":"10.1.0.232:9000","Flavor":"g8","Yard":"a","Loaners":true,
     "Tenure":1,"Tick":88,"Baton":41,"EvictionS":null,
     "Pieces":[{"Piece":"req-000412/3","Try":2,"Status":"running"},
              {"Piece":"req-000398/0","Try":1,"Status":"ended","Cause":"no_room"}]}"#,
    )
    .unwrap();
    assert_eq!(heartbeat.tasks[1].cause, Some(ExitCause::InsufficientResources));
    assert_eq!(heartbeat.interruption_notice_s, None);
}
