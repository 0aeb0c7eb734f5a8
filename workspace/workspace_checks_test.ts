import test from "ava";
import { buildWorkspace } from "../dispatch/_builders.ts";
import { checkWorkspaces } from "./workspace_checks.ts";
import type { WorkspaceName } from "./types.ts";

test("a weight that is negative or not finite is reported with its workspace and the reason", (t) => {
    // Guards against buckets that never fill, or that no job can empty.
    const check = (weight: number | undefined): string[] =>
        checkWorkspaces([buildWorkspace({ name: "acme" as WorkspaceName, weight })]);
    t.deepEqual(check(-0.5), ["workspace acme: the weight is negative"]);
    t.deepEqual(check(Number.NEGATIVE_INFINITY), ["workspace acme: the weight is negative"]);
    t.deepEqual(check(Infinity), ["workspace acme: the weight is not a finite number"]);
    t.deepEqual(check(Number.NaN), ["workspace acme: the weight is not a finite number"]);
    t.deepEqual(check(0), []);
    t.deepEqual(check(undefined), []);
});
