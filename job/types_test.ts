import test from "ava";
import { formatTaskName, parseTaskName, type JobId } from "./types.ts";

const job = "5c0e7a21d94b36f8" as JobId;

test("a task's name is parsed into what it was formatted from", (t) => {
    const ref = { job, occurrence: 3, step: 0, index: 17 };
    t.deepEqual(parseTaskName(formatTaskName(ref)), ref);
});

test("a text that is no task's name is not parsed", (t) => {
    const texts = ["", job, `${job}.0.1`, `${job}.0.1.x`, `${job}.0.1.-1`, `${job}.0.1.2.3`];
    for (const text of [...texts, "x.0.0.0", `${job}.0.0.1.5`]) {
        t.is(parseTaskName(text), undefined, text);
    }
});
