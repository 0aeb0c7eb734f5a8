/**
 * The instances that greet a leader: fronts that can call the advice service, control instances
 * that can vote and answer for states.
 *
 * @example
 * ```ts
 * import { MemberTable } from "./member_table.ts";
 * const table = new MemberTable();
 * table.add(hello, now);
 * const fronts = table.listAddresses("front");
 * ```
 *
 * @module
 */

import type { EntryId } from "../membership/mod.ts";
import type { HelloCall, PeerFront } from "./calls.ts";

/**
 * A control instance not heard from for this long counts as gone, in ms: three greetings. It is
 * replaced only by one that is there and holds the log, so a hasty verdict costs two changes of the
 * voters.
 */
const CONTROL_SILENCE_MS = 1_500;
/** A front not heard from for this long makes no advice calls, in ms. */
const FRONT_SILENCE_MS = 1_500;

interface KnownInstance extends HelloCall {
    readonly heardAt: number;
}

/** Who greeted lately. */
export class MemberTable {
    readonly #known = new Map<string, KnownInstance>();
    #nextPeer = 0;

    /**
     * Records a greeting.
     *
     * @param call The greeting.
     * @param now Our clock, in ms.
     * @returns Whether the instance is new here.
     */
    add(call: HelloCall, now: number): boolean {
        const isNew = !this.#known.has(call.address);
        this.#known.set(call.address, { ...call, heardAt: now });
        return isNew;
    }

    /**
     * Forgets instances that are silent.
     *
     * @param now Our clock, in ms.
     */
    removeSilent(now: number): void {
        for (const [address, known] of this.#known) {
            const limit = known.kind === "front" ? FRONT_SILENCE_MS : CONTROL_SILENCE_MS;
            if (now - known.heardAt > limit) {
                this.#known.delete(address);
            }
        }
    }

    /**
     * Lists the addresses of one kind.
     *
     * @param kind Fronts or control instances.
     * @returns Their RPC addresses.
     */
    listAddresses(kind: HelloCall["kind"]): string[] {
        return [...this.#known.values()]
            .filter((known) => known.kind === kind)
            .map((known) => known.address);
    }

    /**
     * Lists some fronts of each availability zone, for fronts that look for a way to the leader: each time
     * others, or one front of a zone would carry the calls of all that are cut off.
     *
     * @param perZone How many of each zone.
     * @param except The address of the front that asks.
     * @returns The fronts.
     */
    listPeerFronts(perZone: number, except: string): PeerFront[] {
        const counts = new Map<string, number>();
        const peers: PeerFront[] = [];
        const fronts = [...this.#known.values()].filter(({ kind }) => kind === "front");
        const first = this.#nextPeer++ % Math.max(1, fronts.length);
        for (const { address, zone } of [...fronts.slice(first), ...fronts.slice(0, first)]) {
            const count = counts.get(zone) ?? 0;
            if (address !== except && count < perZone) {
                counts.set(zone, count + 1);
                peers.push({ address, zone });
            }
        }
        return peers;
    }

    /**
     * Gives the control instances with their availability zones.
     *
     * @returns Zone by instance.
     */
    getControlZones(): Map<EntryId, string> {
        const zones = new Map<EntryId, string>();
        for (const known of this.#known.values()) {
            if (known.kind === "control") {
                zones.set(known.address as EntryId, known.zone);
            }
        }
        return zones;
    }
}
