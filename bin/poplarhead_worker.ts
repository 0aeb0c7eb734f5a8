#!/usr/bin/env -S node --import tsx
/**
 * Runs a host of stand-in workers: `poplarhead_worker --entry ... --inventory ... --zone ...`.
 *
 * @module
 */
import { runCli } from "../cli/mod.ts";

process.exitCode = await runCli(["workers", ...process.argv.slice(2)]);
