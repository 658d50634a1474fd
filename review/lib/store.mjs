/** Stand-in for the platform's metadata store (PROTOCOL.md): paged reads, watches and a revision counter. */

import { createServer } from "node:http";

const pageSize = 500;

export class Store {
    #items = new Map();
    #changes = [];
    #revision = 0;
    #waiting = new Set();
    #server = createServer((request, response) => this.#handle(request, response));

    put(key, value) {
        const item = {
            Key: key,
            Value: Buffer.from(JSON.stringify(value)).toString("base64"),
            Revision: ++this.#revision,
            Lease: 0,
        };
        this.#items.set(key, { ...item, CreateRev: this.#items.get(key)?.CreateRev ?? item.Revision });
        this.#change(this.#items.get(key));
    }

    remove(key) {
        this.#items.delete(key);
        this.#change({ Key: key, Revision: ++this.#revision, Removed: true });
    }

    async listen(host) {
        await new Promise(resolve => this.#server.listen(0, host, resolve));
        return `${host}:${this.#server.address().port}`;
    }

    close() {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    #change(entry) {
        this.#changes.push(entry);
        [...this.#waiting].forEach(answer => answer());
    }

    #handle(request, response) {
        const { pathname, searchParams: query } = new URL(request.url, "http://store");
        const send = (status, body) =>
            response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
        const prefix = query.get("PathPrefix") ?? "";
        if (pathname === "/v1/kv-key") {
            const item = this.#items.get(query.get("Key"));
            send(item === undefined ? 404 : 200, { ...item, StoreRevision: this.#revision });
        }
        else if (pathname === "/v1/kv-range") {
            const after = query.get("after") ?? "";
            const all = [...this.#items.values()].filter(({ Key }) => Key.startsWith(prefix) && Key > after);
            const items = all.sort((a, b) => a.Key < b.Key ? -1 : 1).slice(0, pageSize);
            send(200, { items, MorePages: items.length < all.length, StoreRevision: this.#revision });
        }
        else if (pathname === "/v1/kv-watch") {
            this.#watch(prefix, query, response, send);
        }
        else {
            send(404, {});
        }
    }

    #watch(prefix, query, response, send) {
        const after = Number(query.get("after"));
        const events = () => this.#changes.filter(({ Key, Revision }) => Key.startsWith(prefix) && Revision > after);
        const answer = () => {
            clearTimeout(timer);
            this.#waiting.delete(answer);
            send(200, { events: events(), StoreRevision: this.#revision });
        };
        const timer = setTimeout(answer, Number(query.get("WaitMs")));
        response.on("close", () => {
            clearTimeout(timer);
            this.#waiting.delete(answer);
        });
        this.#waiting.add(answer);
        if (events().length > 0) {
            answer();
        }
    }
}
