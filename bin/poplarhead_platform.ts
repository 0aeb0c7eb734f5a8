#!/usr/bin/env node
/**
 * A process on the users' platform, from its sources: `poplarhead_platform front|control`. Deployed, the
 * same daemon is started from its bundle by `poplarhead_start`.
 *
 * @module
 */
import { runPlatformProcess } from "../platform/main.ts";

await runPlatformProcess(process.argv[2] ?? "", process.env["POPLARHEAD_SETTINGS"] ?? "");
process.exit(0);
