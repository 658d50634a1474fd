/**
 * Matches requests to routes.
 *
 * @packageDocumentation
 */

import { asError } from "@harrierhitch/core";
import findMyWay, { type HTTPMethod } from "find-my-way";
import { anyMethod } from "./configuration-schema.js";
import type { RouteGroup } from "./route.js";

/** Matches requests to routes by host, method and path. */
export class Router {
    /** Routes with a path pattern and a single method, by host; the empty host matches every request. */
    private readonly patterns = new Map<string, findMyWay.Instance<findMyWay.HTTPVersion.V1>>();
    /** Routes for all methods, by host and path prefix. */
    private readonly prefixes = new Map<string, RouteGroup>();

    /**
     * Adds a route.
     *
     * @returns An error message if the path is invalid or ambiguous, otherwise `undefined`.
     */
    add(route: RouteGroup): string | undefined {
        if (route.method === anyMethod) {
            return this.addPrefix(route);
        }
        try {
            this.patternsOf(route.host).on(route.method, route.path, unusedHandler, route);
            return undefined;
        }
        catch (thrown) {
            return asError(thrown).message;
        }
    }

    /**
     * Finds the route of a request. A route for the request's host takes precedence over routes
     * for every host, and a longer path prefix over a shorter one.
     *
     * @param method - HTTP method in upper case; `HEAD` falls back to `GET`.
     * @param host - Host in lower case, without the port.
     * @param path - Path without the query.
     * @returns The route, or `undefined` if none matches.
     */
    find(method: string, host: string, path: string): RouteGroup | undefined {
        return this.findAt(method, host, path) ?? (host === "" ? undefined : this.findAt(method, "", path));
    }

    private findAt(method: string, host: string, path: string): RouteGroup | undefined {
        return this.findPattern(method, host, path) ?? this.findPrefix(host, path);
    }

    private findPattern(method: string, host: string, path: string): RouteGroup | undefined {
        const found = this.patterns.get(host)?.find(method as HTTPMethod, path);
        if (found !== null && found !== undefined) {
            return (found.store ?? undefined) as RouteGroup | undefined;
        }
        return method === "HEAD" ? this.findPattern("GET", host, path) : undefined;
    }

    private findPrefix(host: string, path: string): RouteGroup | undefined {
        for (let end = path.lastIndexOf("/"); end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
            const route = this.prefixes.get(prefixKey(host, path.slice(0, end + 1)));
            if (route !== undefined) {
                return route;
            }
        }
        return undefined;
    }

    private addPrefix(route: RouteGroup): string | undefined {
        if (!route.path.endsWith("/")) {
            return `the path of a route with the method ${anyMethod} must end with /`;
        }
        const key = prefixKey(route.host, route.path);
        if (this.prefixes.has(key)) {
            return "another route has the same host and path";
        }
        this.prefixes.set(key, route);
        return undefined;
    }

    private patternsOf(host: string): findMyWay.Instance<findMyWay.HTTPVersion.V1> {
        const patterns = this.patterns.get(host) ?? findMyWay({ ignoreTrailingSlash: false, maxParamLength: 1024 });
        this.patterns.set(host, patterns);
        return patterns;
    }
}

const prefixKey = (host: string, prefix: string): string => `${host} ${prefix}`;

/** The library requires a handler; only the route stored with it is used. */
const unusedHandler = (): void => undefined;
