/**
 * Structured JSON logging with winston. Each line carries the time, process and availability zone,
 * so that `poplarhead logs merge` can merge the logs of all processes into one timeline.
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
 * The levels, most urgent first. `notice` is for changes of the group's state, such as leaders,
 * voters and the configuration. Unlike `info`, it is exempt from the rate limit of {@link LogSink}.
 */
const LEVELS = { error: 0, warn: 1, notice: 2, info: 3, debug: 4 };

/** Options of {@link createLogger}. */
export interface LoggerOptions {
    readonly process: string;
    readonly zone: string;
    /** A file to append to; takes precedence over `sink`. Defaults to standard error. */
    readonly file?: string;
    /** Receives the lines instead of standard error. */
    readonly sink?: LogSink;
    /** Defaults to `info`. */
    readonly level?: string;
    /** Disables all output, for benchmarks. */
    readonly silent?: boolean;
}

/**
 * Creates a JSON logger that adds the time in ms since the Unix epoch, the process and the
 * availability zone to each line.
 *
 * @param options The process, its zone and the destination.
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

/** Creates a stream into a sink that treats all lines except those at `info` as failures. */
function createSinkStream(sink: LogSink): Writable {
    return new Writable({
        decodeStrings: false,
        write: (line: string, _encoding, done) => {
            sink.write(line, !line.includes('"level":"info"'));
            done();
        },
    });
}
