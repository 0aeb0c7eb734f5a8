/**
 * Generates repeatable random numbers for tests and simulations.
 *
 * @example
 * ```ts
 * import { createRandom } from "./seeded_random.ts";
 * const random = createRandom(7);
 * random(); // the first number of the sequence of seed 7
 * ```
 *
 * @module
 */

/**
 * Creates a linear congruential generator of numbers in [0, 1).
 *
 * @param seed The seed; the same seed gives the same sequence.
 * @returns A function that returns the next number.
 */
export function createRandom(seed: number): () => number {
    let state = seed >>> 0;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
}
