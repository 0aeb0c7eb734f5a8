/**
 * A repeatable source of random numbers for tests, the soak and planned days.
 *
 * @example
 * ```ts
 * import { createRandom } from "./seeded_random.ts";
 * const random = createRandom(7);
 * random(); // the same number each time
 * ```
 *
 * @module
 */

/**
 * Creates a seeded source of numbers in [0, 1).
 *
 * @param seed The seed.
 * @returns The source (a linear congruential generator: repeatability is wanted, not quality).
 */
export function createRandom(seed: number): () => number {
    let state = seed >>> 0;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
}
