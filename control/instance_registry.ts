/**
 * The instances that greet a leader: fronts that can call the advice service, control instances
 * that can vote and answer for states.
 *
 * @example
 * ```ts
 * import { MemberTable } from "./instance_registry.ts";
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
const CONTROL_TIMEOUT_MS = 1_500;
/** A front not heard from for this long makes no advice calls, in ms. */
const FRONT_TIMEOUT_MS = 1_500;

interface RegisteredInstance extends HelloCall {
    readonly lastHelloAtMs: number;
}

/** Who greeted lately. */
export class InstanceRegistry {
    readonly #instances = new Map<string, RegisteredInstance>();
    #nextFrontIndex = 0;

    /**
     * Records a greeting.
     *
     * @param call The greeting.
     * @param nowMs Our clock, in ms.
     * @returns Whether the instance is new here.
     */
    add(call: HelloCall, nowMs: number): boolean {
        const isNew = !this.#instances.has(call.address);
        this.#instances.set(call.address, { ...call, lastHelloAtMs: nowMs });
        return isNew;
    }

    /**
     * Forgets instances that are silent.
     *
     * @param nowMs Our clock, in ms.
     */
    removeExpired(nowMs: number): void {
        for (const [address, instance] of this.#instances) {
            const timeoutMs = instance.kind === "front" ? FRONT_TIMEOUT_MS : CONTROL_TIMEOUT_MS;
            if (nowMs - instance.lastHelloAtMs > timeoutMs) {
                this.#instances.delete(address);
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
        return [...this.#instances.values()]
            .filter((known) => known.kind === kind)
            .map((known) => known.address);
    }

    /**
     * Lists some fronts of each availability zone, for fronts that look for a way to the leader: each time
     * others, or one front of a zone would carry the calls of all that are cut off.
     *
     * @param maxPerZone How many of each zone.
     * @param requesterAddress The address of the front that asks.
     * @returns The fronts.
     */
    listPeerFronts(maxPerZone: number, requesterAddress: string): PeerFront[] {
        const countsByZone = new Map<string, number>();
        const peers: PeerFront[] = [];
        const fronts = [...this.#instances.values()].filter(({ kind }) => kind === "front");
        const firstIndex = this.#nextFrontIndex++ % Math.max(1, fronts.length);
        for (const { address, zone } of [
            ...fronts.slice(firstIndex),
            ...fronts.slice(0, firstIndex),
        ]) {
            const count = countsByZone.get(zone) ?? 0;
            if (address !== requesterAddress && count < maxPerZone) {
                countsByZone.set(zone, count + 1);
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
        for (const instance of this.#instances.values()) {
            if (instance.kind === "control") {
                zones.set(instance.address as EntryId, instance.zone);
            }
        }
        return zones;
    }
}
