/**
 * Starts a daemon from its bundle: `poplarhead_start front|control`. The pattern: after a loss of power
 * all processes start in the same second, on small processors that are charged for compiling, and nobody
 * is served before they listen. The bundle is one file, and comes with what the engine compiled when it was built.
 *
 * @module
 */

import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Script } from "node:vm";
import type { runPlatformProcess } from "../platform/main.ts";

/** What the bundle exports. */
interface DaemonBundle {
    readonly runPlatformProcess: typeof runPlatformProcess;
}

type CommonJsWrapper = (
    exports: object,
    require: NodeJS.Require,
    module: { exports: object },
    filename: string,
) => void;

const bundleDir = dirname(fileURLToPath(import.meta.url));
const bundleFile = join(bundleDir, "daemon_bundle.js");
const [role = "", option] = process.argv.slice(2);
const cacheFile = join(bundleDir, `code_cache_${role}.bin`);

// The engine refuses compiled code of another version or other flags, and compiles as usual then.
const script = new Script(readFileSync(bundleFile, "utf8"), {
    filename: bundleFile,
    cachedData: existsSync(cacheFile) ? readFileSync(cacheFile) : undefined,
});
const bundleModule: { exports: object } = { exports: {} };
(script.runInThisContext() as CommonJsWrapper)(
    bundleModule.exports,
    createRequire(import.meta.url),
    bundleModule,
    bundleFile,
);
const daemon = bundleModule.exports as DaemonBundle;
void daemon.runPlatformProcess(role, process.env["POPLARHEAD_SETTINGS"] ?? "").then(() => {
    if (option === "--write-code-cache") {
        const file = join(bundleDir, `${role}.${process.pid}.code_cache`);
        writeFileSync(file, script.createCachedData());
    }
    process.exit(0);
});
