// Ten times more calls come than all engines can serve. Callers are told at once when to come
// back; admitted one and all, nearly every answer would come too late.
let ours = outcome("overload", "ours");
let fcfs = outcome("overload", "fcfs");
check(ours.silent == 0, "nobody is left without an answer");
check(ours.late * 100 <= ours.calls, "hardly anybody is cut at the deadline");
check(ours.served > fcfs.served * 2, "at least twice as many are served");
