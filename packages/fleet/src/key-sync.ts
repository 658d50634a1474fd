/**
 * Syncs of keyed requests between keepers.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import { type Clock, type InstanceId, sleep } from "@harrierhitch/core";
import { type Document, type Member, SyncRecordsRequestSchema, type SyncRecordsResponse } from "@harrierhitch/protocol";
import type { Keeper } from "./keeper.js";
import type { KeyHistory, Standing } from "./key-history.js";
import { callWithin, type PeerAddress, type PeerClients } from "./peer-clients.js";
import { View } from "./view.js";

/** Options of {@link KeySync}. */
export interface KeySyncOptions {
    readonly clock: Clock;
    readonly fleet: string;
    readonly instance: InstanceId;
    readonly history: KeyHistory;
    readonly keeper: Keeper;
    readonly clients: PeerClients;
    readonly callTimeoutMs: number;
    /** Ends all syncs. */
    readonly signal: AbortSignal;
    /** Told of a newer view that another instance named. */
    readonly onView: (text: string) => void;
}

/** First pause between two rounds of syncs; each further one is twice as long. */
const firstPauseMs = 100;

/** Longest pause between two rounds of syncs. */
const longestPauseMs = 2000;

const standings: readonly Standing[] = ["fresh", "cold", "established"];

/** Asks other keepers for their records, so that this one can vouch for keys. */
export class KeySync {
    private running = false;

    /** @param options - Parts of the instance. */
    constructor(private readonly options: KeySyncOptions) {}

    /** Takes over the records of a member that has announced that it leaves. */
    async takeOverFrom(member: Member): Promise<void> {
        if (await this.syncWith(member.instance, member)) {
            this.options.history.close(member.instance);
        }
    }

    /** Asks the other instances of the list, more and more rarely, until all have answered. */
    async run(): Promise<void> {
        const { clock, history, signal } = this.options;
        if (this.running) {
            return;
        }
        this.running = true;
        for (
            let pauseMs = firstPauseMs;
            !signal.aborted && history.missing.length > 0;
            pauseMs = Math.min(longestPauseMs, 2 * pauseMs)
        ) {
            await Promise.all(history.missing.map(id => this.syncWithListed(id)));
            await sleep(clock, history.missing.length > 0 ? pauseMs : 0, signal);
        }
        this.running = false;
    }

    private async syncWithListed(id: string): Promise<void> {
        const entry = this.options.history.view?.entries.find(candidate => candidate.id === id);
        if (entry !== undefined) {
            await this.syncWith(id, entry);
        }
    }

    /** Takes over the records of one instance; tells whether it answered under the view in force. */
    private async syncWith(id: string, peer: PeerAddress): Promise<boolean> {
        const { history, keeper, onView } = this.options;
        const { view } = history;
        if (view === undefined) {
            return false;
        }
        const first = await this.ask(peer, view.toReference());
        const isBehind = first !== undefined && first.view?.version?.hash !== view.hash
            && View.read(first.view?.text ?? "")?.isNewerThan(view) !== true;
        const response = isBehind ? await this.ask(peer, view.toDocument()) : first;
        if (response === undefined) {
            return false;
        }
        keeper.takeOver(response.holdings);
        if (response.view?.version?.hash !== view.hash) {
            onView(response.view?.text ?? "");
            return false;
        }
        const views = response.views.flatMap(document => View.read(document.text) ?? []);
        const { answered, left } = response;
        const standing = standings.find(known => known === response.standing) ?? "fresh";
        history.learn({ instance: id, standing, views, answered, left });
        return history.view?.hash === view.hash;
    }

    private ask(peer: PeerAddress, view: Document): Promise<SyncRecordsResponse | undefined> {
        const { clients, fleet, instance } = this.options;
        const request = create(SyncRecordsRequestSchema, { fleet, instance, view });
        return this.call(signal => clients.to(peer).syncRecords(request, { signal }));
    }

    /** An instance that does not answer is asked again until it does or the list drops it. */
    private async call(call: (signal: AbortSignal) => Promise<SyncRecordsResponse>): Promise<SyncRecordsResponse | undefined> {
        try {
            return await callWithin(this.options.clock, this.options.callTimeoutMs, call);
        }
        catch {
            return undefined;
        }
    }
}
