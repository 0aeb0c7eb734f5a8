/**
 * Starts a daemon from its bundle: `poplarhead_start front|control`. A V8 code cache saves compile
 * time at startup, which matters when all processes restart at once on small machines.
 *
 * @module
 */

import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Script } from "node:vm";
import type { runPlatformProcess } from "../platform/main.ts";

/** Exports of the bundle. */
interface DaemonBundle {
    readonly runPlatformProcess: typeof runPlatformProcess;
}

/** Signature of the function that wraps the bundle, as in a CommonJS module. */
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

// V8 rejects a code cache from another version or other flags, and compiles the source instead.
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
