#!/usr/bin/env -S node --import tsx
/**
 * The `poplarhead` command line: operators' commands, and the processes of a local cell.
 *
 * @module
 */
import { runCli } from "../cli/mod.ts";

process.exitCode = await runCli(process.argv.slice(2));
