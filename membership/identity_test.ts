import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { loadIncarnation } from "./identity.ts";

test("an emptied data directory gets another incarnation, and a kept one keeps its own", (t) => {
    // Guards against a member that lost its disk and votes again under its old identity.
    const parent = mkdtempSync(join(tmpdir(), "poplarhead-identity-"));
    t.teardown(() => rmSync(parent, { recursive: true }));
    const dataDir = join(parent, "data");
    const first = loadIncarnation({ dataDir, bootstrap: true });
    t.is(loadIncarnation({ dataDir, bootstrap: false }), first);
    rmSync(dataDir, { recursive: true });
    const second = loadIncarnation({ dataDir, bootstrap: false });
    t.not(second, first);
    t.is(loadIncarnation({ dataDir, bootstrap: true }), second);
});
