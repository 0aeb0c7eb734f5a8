/**
 * Structured JSON logs (winston), one object a line, each with the time in ms, the process,
 * its availability zone and, where there is one, the request: the lines of every process merge
 * into one time line (`poplarhead logs merge`).
 *
 * @example
 * ```ts
 * import { createLogger } from "./logger.ts";
 * const log = createLogger({ process: "entry-1", zone: "hall-a" });
 * log.info("placed", { request: "r1", worker: "w3" });
 * ```
 *
 * @module
 */

import { Writable } from "node:stream";
import { createLogger as createWinston, format, transports, type Logger } from "winston";
import type { LogSink } from "./log_sink.ts";

/**
 * The levels, most urgent first. `notice` is for what changes the group's state (leaders, voters, the
 * configuration): some lines a minute that explain all others. Left at `info` they were given up with a busy
 * leader's hundreds of lines a second, just when they were needed.
 */
const LEVELS = { error: 0, warn: 1, notice: 2, info: 3, debug: 4 };

/** Options of {@link createLogger}. */
export interface LoggerOptions {
    readonly process: string;
    readonly zone: string;
    /** A file to append to; standard error when absent. */
    readonly file?: string;
    /** Takes the lines instead of standard error. */
    readonly sink?: LogSink;
    /** Defaults to `info`. */
    readonly level?: string;
    /** Writes nothing (benchmarks). */
    readonly silent?: boolean;
}

/**
 * Creates a JSON logger whose every line carries time (ms), process and zone.
 *
 * @param options Process, zone, where to write.
 * @returns The logger.
 */
export function createLogger(options: LoggerOptions): Logger {
    const stamp = format((info) => {
        info["t"] = Date.now();
        info["process"] = options.process;
        info["zone"] = options.zone;
        return info;
    });
    return createWinston({
        levels: LEVELS,
        level: options.level ?? "info",
        silent: options.silent ?? false,
        format: format.combine(stamp(), format.json()),
        transports: [
            options.file === undefined
                ? new transports.Stream({
                      stream:
                          options.sink === undefined
                              ? process.stderr
                              : createSinkStream(options.sink),
                  })
                : new transports.File({ filename: options.file }),
        ],
    });
}

/** Lines at a level above `info` are kept when others are given up. */
function createSinkStream(sink: LogSink): Writable {
    return new Writable({
        decodeStrings: false,
        write: (line: string, _encoding, done) => {
            sink.write(line, !line.includes('"level":"info"'));
            done();
        },
    });
}
