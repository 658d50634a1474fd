/**
 * The exchange of news between two instances.
 *
 * @packageDocumentation
 */

import { create } from "@bufbuild/protobuf";
import {
    type Document,
    DocumentSchema,
    type ExchangeRequest,
    ExchangeRequestSchema,
    type ExchangeResponse,
    ExchangeResponseSchema,
    type Member,
    type Version,
    VersionSchema,
} from "@harrierhitch/protocol";
import type { AcceptedConfiguration } from "./accepted-configuration.js";
import type { KeyHistory } from "./key-history.js";
import type { Members } from "./members.js";
import type { HeardRumor, Rumors } from "./rumors.js";

/** Options of {@link Exchange}. */
export interface ExchangeOptions {
    readonly fleet: string;
    readonly members: Members;
    readonly rumors: Rumors;
    readonly history: KeyHistory;
    readonly accepted: AcceptedConfiguration;
    readonly onConfiguration: (source: string, text: string) => void;
    readonly onView: (text: string) => void;
    readonly onRumor: (rumor: HeardRumor) => void;
    /** Told once of each member that announces that it leaves. */
    readonly onLeaving: (member: Member) => void;
    /** Told when an exchange brought something that others should hear at once. */
    readonly onNews: () => void;
}

/** Sends a request to one instance. */
export type SendExchange = (request: ExchangeRequest) => Promise<ExchangeResponse>;

/** Tells and takes in news, as the asking and as the asked side. */
export class Exchange {
    /** @param options - What is told and taken in. */
    constructor(private readonly options: ExchangeOptions) {}

    /** Exchanges news with one instance; documents that it lacks follow in a second request. */
    async with(send: SendExchange): Promise<void> {
        const response = await send(this.request({}));
        this.takeIn(response.sender?.instance ?? "", response);
        const lacks = this.documentsFor(response.configuration, response.instances);
        if (lacks.configurationDocuments.length > 0 || lacks.instancesDocuments.length > 0) {
            this.takeIn(response.sender?.instance ?? "", await send(this.request(lacks)));
        }
    }

    /** Answers the exchange of another instance. */
    answer(request: ExchangeRequest): ExchangeResponse {
        this.takeIn(request.sender?.instance ?? "", request);
        const { members, rumors } = this.options;
        return create(ExchangeResponseSchema, {
            sender: members.self,
            members: [...members.news()],
            ...this.versions(),
            ...this.documentsFor(request.configuration, request.instances),
            observations: [...rumors.news()],
        });
    }

    private request(documents: { configurationDocuments?: Document[]; instancesDocuments?: Document[]; }): ExchangeRequest {
        const { fleet, members, rumors } = this.options;
        return create(ExchangeRequestSchema, {
            fleet,
            sender: members.self,
            members: [...members.news()],
            ...this.versions(),
            ...documents,
            observations: [...rumors.news()],
        });
    }

    private takeIn(source: string, news: ExchangeRequest | ExchangeResponse): void {
        const { members, rumors, onConfiguration, onView, onRumor, onNews, onLeaving } = this.options;
        const told = news.sender === undefined ? news.members : [news.sender, ...news.members];
        const leaving = told.filter(member => member.leaving && members.stateOf(member.instance) !== "left");
        members.merge(told);
        leaving.filter(member => members.stateOf(member.instance) === "left").forEach(onLeaving);
        news.configurationDocuments.forEach(document => onConfiguration(source, document.text));
        news.instancesDocuments.forEach(document => onView(document.text));
        const heard = rumors.merge(news.observations);
        heard.forEach(onRumor);
        if (heard.length > 0 || leaving.length > 0) {
            onNews();
        }
    }

    private versions(): { readonly configuration: Version; readonly instances: Version; } {
        const { accepted, history } = this.options;
        const configuration = accepted.inForce?.configuration;
        const view = history.view;
        return {
            configuration: create(VersionSchema, {
                number: BigInt(configuration?.generation ?? 0),
                hash: configuration?.hash ?? "",
            }),
            instances: create(VersionSchema, { number: BigInt(view?.list.revision ?? 0), hash: view?.hash ?? "" }),
        };
    }

    /** The documents that another instance lacks, by the versions it told. */
    private documentsFor(
        configuration: Version | undefined,
        instances: Version | undefined,
    ): { readonly configurationDocuments: Document[]; readonly instancesDocuments: Document[]; } {
        const { accepted, history } = this.options;
        const { inForce } = accepted;
        const { view } = history;
        const own = this.versions();
        // Of two contents under one generation the lower hash wins, of two lists under one revision the higher.
        const lacksConfiguration = inForce !== undefined && isAhead(own.configuration, configuration, (a, b) => a < b);
        const lacksInstances = view !== undefined && isAhead(own.instances, instances, (a, b) => a > b);
        return {
            configurationDocuments: lacksConfiguration
                ? [create(DocumentSchema, { version: own.configuration, text: inForce.text })]
                : [],
            instancesDocuments: lacksInstances ? [view.toDocument()] : [],
        };
    }
}

const isAhead = (own: Version, other: Version | undefined, winsTie: (a: string, b: string) => boolean): boolean => {
    if (other === undefined || own.number !== other.number) {
        return own.number > (other?.number ?? 0n);
    }
    return own.hash !== other.hash && winsTie(own.hash, other.hash);
};
