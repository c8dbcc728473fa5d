// An operator changes settings while the log is down, and again while it is so slow that the
// answer cannot come in time. "Accepted" would be false in the first case; "refused" would be
// false in the second if the change took force afterwards.

deploy(#{});
let version = status("router-0").version;
set_document("teams/vidrio/models/rounds-3b", #{ replicas: 2 });
fault("log", #{ down: true });
wait_until("the router knows that the log is down", || !status("router-0").log_up);
let down = operate("router-0", ["apply", settings_dir()]);
check(down.code != 0 && down.output.contains("nothing was written"), down.output);
fault("log", #{});
wait_until("the log is back", || status("router-0").log_up);
check(status("router-0").version == version, "what was refused has not taken force");

fault("log", #{ slow_ms: 6000 });
let slow = operate("router-0", ["apply", settings_dir()]);
check(slow.code != 0, slow.output);
fault("log", #{});
if slow.output.contains("not known yet") {
    check(slow.output.contains("ticket"), slow.output);
}
// However it was answered, applying again ends in the wanted settings, once.
wait_until("it can be applied", || operate("router-1", ["apply", settings_dir()]).code == 0);
wait_until("the replicas follow", || status("router-1").slots.len() == 5);
