#!/usr/bin/env -S node --import tsx
/**
 * Runs a host of simulated workers: `poplarhead_worker --entry ... --inventory ... --rules ...`.
 *
 * @module
 */
import { runCli } from "../cli/mod.ts";

process.exitCode = await runCli(["workers", ...process.argv.slice(2)]);
