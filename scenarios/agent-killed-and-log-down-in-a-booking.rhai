// The agent is killed while the service executes its booking, and the log goes down before the
// outcome is recorded. The router must never report "not-run".

deploy(#{ engines: 2 });
wait_until("bookings run", || book("router-0", "vidrio", "warm", #{ day: 1 }).outcome == "ran");

fault("service-0", #{ after_ms: 3000 });
let number = begin_booking("router-0", "vidrio", "b-1", #{ day: 3 });
wait_until("it runs", || counters("service-0").by_key["b-1"] == 1);
fault("log", #{ down: true });
kill("agent-service-0");
let first = finish(number);
check(first.outcome == "unknown", "unknown during the outage: " + first.body);

fault("log", #{});
fault("service-0", #{});
start("agent-service-0");
wait_until("bookings run again", || book("router-1", "vidrio", "b-2", #{ day: 3 }).outcome == "ran");
let again = book("router-1", "vidrio", "b-1", #{ day: 3 });
check(again.outcome == "unknown", "still unknown, never not-run: " + again.body);
check(counters("service-0").by_key["b-1"] == 1, "it ran once");
