// An operator applies settings while the log is down, and while it is too slow to respond in time.
// The command must not report a rejected change as accepted, nor an accepted one as rejected.

deploy(#{});
let version = status("router-0").version;
set_document("teams/vidrio/models/rounds-3b", #{ replicas: 2 });
fault("log", #{ down: true });
wait_until("the router detects that the log is down", || !status("router-0").log_up);
let down = operate("router-0", ["apply", settings_dir()]);
check(down.code != 0 && down.output.contains("nothing was written"), down.output);
fault("log", #{});
wait_until("the log is back", || status("router-0").log_up);
check(status("router-0").version == version, "the rejected change has not taken effect");

fault("log", #{ slow_ms: 6000 });
let slow = operate("router-0", ["apply", settings_dir()]);
check(slow.code != 0, slow.output);
fault("log", #{});
if slow.output.contains("not known yet") {
    check(slow.output.contains("ticket"), slow.output);
}
// Applying again must succeed regardless of the earlier outcome.
wait_until("it can be applied", || operate("router-1", ["apply", settings_dir()]).code == 0);
wait_until("the replicas are added", || status("router-1").slots.len() == 5);
