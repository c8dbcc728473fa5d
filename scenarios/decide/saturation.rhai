// Demand is ten times the capacity. Excess calls must be rejected early, or nearly all calls would
// miss their deadlines.
let ours = outcome("overload", "ours");
let fcfs = outcome("overload", "fcfs");
check(ours.silent == 0, "nobody is left without an answer");
check(ours.late * 100 <= ours.calls, "hardly anybody is cut at the deadline");
check(ours.served > fcfs.served * 2, "at least twice as many are served");
