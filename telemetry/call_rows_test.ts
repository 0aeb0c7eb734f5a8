import test from "ava";
import { formatCallRows, listCallRows } from "./call_rows.ts";
import type { TimelineEvent } from "./timeline.ts";

function buildEvent(t: number, message: string, fields: object = {}): TimelineEvent {
    return { t, process: "front-1", zone: "z", message, ...fields };
}

test("calls of all fronts are added up per span and kind, configurations included", (t) => {
    const cancel = { answered: 1, late: 0, refused: 0, failed: 2 };
    const submit = { answered: 4, late: 1, refused: 3, failed: 0 };
    const rows = listCallRows([
        buildEvent(100, "calls answered", { calls: { cancel, submit } }),
        buildEvent(900, "calls answered", { calls: { cancel } }),
        buildEvent(1_200, "configuration acknowledged", { version: 2 }),
        buildEvent(1_300, "control call failed", { method: "PUT", path: "/p/config" }),
        buildEvent(1_400, "control call failed", { method: "PUT", path: "/p/instances/i-1" }),
    ]);
    t.deepEqual(rows, [
        { spanStartMs: 0, call: "cancel", answered: 2, late: 0, refused: 0, failed: 4 },
        { spanStartMs: 0, call: "submit", ...submit },
        { spanStartMs: 1_000, call: "configuration", answered: 1, late: 0, refused: 0, failed: 1 },
    ]);
    t.regex(formatCallRows(rows), /0\.0 s cancel\s+2\s+0\s+0\s+4/);
});
