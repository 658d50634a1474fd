/**
 * Stand-in for the platform's metadata store: ranges, single keys and watches, as PROTOCOL.md describes them.
 */

import { createServer } from "node:http";

/** Time for which changes are kept, in milliseconds. */
const historyMs = 20_000;

/** Size of the items from which a page ends, in bytes. */
const pageBytes = 1_000_000;

export class Store {
    items = new Map();
    history = [];
    /** Revision up to which changes have been forgotten. */
    forgotten = 0;
    revision = 100;
    waiting = new Set();
    /** All changes since the start, for reads that may be stale. */
    #changes = [];
    /** Age of the second and further pages of reads that may be stale, in milliseconds. */
    stalePagesMs = 0;
    /** Addresses of servers as some machines are to see them, who reach these servers on a path of their own. */
    otherAddresses = new Map();

    async listen(host, otherHost = host) {
        this.address = await this.#open(host, false);
        this.otherAddress = await this.#open(otherHost, true);
    }

    async #open(host, isOther) {
        const server = createServer((request, response) => this.#handle(request, response, isOther));
        await new Promise(resolve => server.listen(0, host, resolve));
        return `${host}:${server.address().port}`;
    }

    /** Returns an item as it is listed at one of the addresses. */
    #seen(item, isOther) {
        if (!isOther || item.Value === undefined || !item.Key.startsWith("servers/")) {
            return item;
        }
        const entry = JSON.parse(Buffer.from(item.Value, "base64").toString());
        const Address = this.otherAddresses.get(entry.Address) ?? entry.Address;
        return { ...item, Value: Buffer.from(JSON.stringify({ ...entry, Address })).toString("base64") };
    }

    /** Writes an item. */
    put(key, text) {
        this.revision += 1;
        const created = this.items.get(key)?.CreateRev ?? this.revision;
        const encoded = Buffer.from(text).toString("base64");
        const item = { Key: key, Value: encoded, Revision: this.revision, CreateRev: created, Lease: 0 };
        this.items.set(key, item);
        this.#record(item);
    }

    remove(key) {
        if (this.items.delete(key)) {
            this.revision += 1;
            this.#record({ Key: key, Revision: this.revision, Removed: true });
        }
    }

    #record(event) {
        const nowMs = performance.now();
        this.#changes.push({ event, atMs: nowMs });
        this.history.push({ event, text: JSON.stringify(event), atMs: nowMs });
        this.#forget(nowMs - historyMs);
        [...this.waiting].forEach(wake => wake());
    }

    #forget(beforeMs) {
        const kept = this.history.findIndex(({ atMs }) => atMs >= beforeMs);
        const dropped = this.history.splice(0, kept < 0 ? this.history.length : kept);
        this.forgotten = dropped.at(-1)?.event.Revision ?? this.forgotten;
    }

    #handle(request, response, isOther) {
        const url = new URL(request.url, "http://store");
        const prefix = url.searchParams.get("PathPrefix") ?? "";
        const after = url.searchParams.get("after");
        if (url.pathname === "/v1/kv-key") {
            const item = this.items.get(url.searchParams.get("Key") ?? "");
            this.#answer(response, item === undefined ? 404 : 200, { ...item, StoreRevision: this.revision });
        }
        else if (url.pathname === "/v1/kv-range") {
            const isStale = url.searchParams.get("AllowStale") === "1" && after !== null;
            const { items, revision } = isStale ? this.#stateAt(performance.now() - this.stalePagesMs) : this;
            const page = pageOf(items, revision, prefix, after ?? "");
            this.#answer(response, 200, { ...page, items: page.items.map(item => this.#seen(item, isOther)) });
        }
        else if (url.pathname === "/v1/kv-watch") {
            this.#watch(response, isOther, prefix, Number(after), Number(url.searchParams.get("WaitMs") ?? 0));
        }
        else {
            this.#answer(response, 404, {});
        }
    }

    /** Returns the items as they were at a time, with the revision of then. */
    #stateAt(atMs) {
        const items = new Map();
        const changes = this.#changes.filter(change => change.atMs <= atMs);
        changes.forEach(({ event }) => event.Removed === true ? items.delete(event.Key) : items.set(event.Key, event));
        return { items, revision: changes.at(-1)?.event.Revision ?? 0 };
    }

    #watch(response, isOther, prefix, after, waitMs) {
        this.#forget(performance.now() - historyMs);
        if (after < this.forgotten) {
            this.#answer(response, 410, {});
            return;
        }
        const send = isOver => {
            const events = this.history.filter(({ event: { Key, Revision } }) => Key.startsWith(prefix) && Revision > after);
            if (events.length > 0 || isOver) {
                clearTimeout(timer);
                this.waiting.delete(wake);
                const texts = events.map(({ event, text }) => isOther ? JSON.stringify(this.#seen(event, true)) : text);
                void sendEvents(response, texts, this.revision);
            }
        };
        const wake = () => send(false);
        const timer = setTimeout(() => send(true), waitMs);
        this.waiting.add(wake);
        response.once("close", () => {
            clearTimeout(timer);
            this.waiting.delete(wake);
        });
        send(waitMs === 0);
    }

    #answer(response, status, body) {
        const text = JSON.stringify(body);
        response.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
        response.end(text);
    }
}

/** Returns the page of items that follows a key. */
const pageOf = (items, revision, prefix, after) => {
    const following = [...items.values()]
        .filter(({ Key }) => Key.startsWith(prefix) && Key > after)
        .sort((a, b) => a.Key < b.Key ? -1 : 1);
    let bytes = 0;
    const page = following.filter(({ Value }, index) => {
        bytes += Value.length;
        return index === 0 || bytes <= pageBytes;
    });
    return { items: page, MorePages: page.length < following.length, StoreRevision: revision };
};

/** Sends the events one by one, as fast as they are read. */
const sendEvents = async (response, texts, revision) => {
    const start = "{\"events\":[";
    const end = `],"StoreRevision":${revision}}`;
    const length = texts.reduce((sum, text) => sum + Buffer.byteLength(text), 0) + Math.max(0, texts.length - 1);
    response.writeHead(200, { "content-type": "application/json", "content-length": start.length + length + end.length });
    response.write(start);
    for (const [index, text] of texts.entries()) {
        if (response.destroyed) {
            return;
        }
        if (!response.write(index === 0 ? text : `,${text}`)) {
            await whenWritable(response);
        }
    }
    response.end(end);
};

/** Waits until a response may be written further, or is closed. */
const whenWritable = response =>
    new Promise(resolve => {
        const proceed = () => {
            response.off("drain", proceed).off("close", proceed);
            resolve();
        };
        response.on("drain", proceed).on("close", proceed);
    });
