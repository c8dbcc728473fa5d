// The agent of the booking service is frozen while the log's responses are lost. Callers must get a
// timely response, and each booking must have one outcome after recovery.

deploy(#{ engines: 2 });
wait_until("bookings run", || book("router-0", "vidrio", "warm", #{ day: 1 }).outcome == "ran");

fault("log", #{ lose_answers: 3 });
freeze("agent-service-0");
let first = book("router-0", "vidrio", "b-1", #{ day: 3 });
check(first.outcome == "not-run" || first.outcome == "unknown", "not-run or unknown: " + first.body);
check(counters("service-0").by_key["b-1"] == (), "nothing ran while the agent was frozen");

thaw("agent-service-0");
fault("log", #{});
wait_until("bookings run again", || book("router-1", "vidrio", "b-2", #{ day: 3 }).outcome == "ran");
if first.outcome == "not-run" && first.status == 410 {
    let again = book("router-1", "vidrio", "b-1", #{ day: 3 });
    check(again.outcome == "not-run", "the outcome stays not-run: " + again.body);
    check(counters("service-0").by_key["b-1"] == (), "nothing ran later");
}
