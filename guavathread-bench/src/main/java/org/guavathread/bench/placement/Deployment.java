package org.guavathread.bench.placement;

import java.util.List;

/**
 * A pool of engines of today's users (design page, section 1.7), split into prefill and decode engines.
 *
 * @param name user and pool
 * @param prefills prefill engines
 * @param decodes decode engines
 * @param dataCentres number of data centres; hosts and engines are assigned to them round-robin
 * @param clientMicros one-way latency to clients
 */
record Deployment(String name, int prefills, int decodes, int dataCentres, long clientMicros) {

    static final int HOSTS = 7;

    /** One-way latency between data centres. */
    private static final long BETWEEN_DATA_CENTRES_MICROS = 1_000;

    private static final long WITHIN_DATA_CENTRE_MICROS = 100;

    static final List<Deployment> TODAY = List.of(
            new Deployment("prensas/resumidor", 2, 4, 4, 1_000),
            new Deployment("prensas/patio", 1, 3, 4, 1_000),
            new Deployment("vasconcelos/assistente-folhas", 3, 10, 3, 3_000),
            new Deployment("vasconcelos/balcao-reservas", 1, 2, 3, 3_000));

    long hopMicros(int fromDataCentre, int toDataCentre) {
        return fromDataCentre == toDataCentre ? WITHIN_DATA_CENTRE_MICROS : BETWEEN_DATA_CENTRES_MICROS;
    }
}
