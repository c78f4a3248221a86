package org.guavathread.gateway.call;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.guavathread.core.dispatch.EnginePlan;
import org.guavathread.core.dispatch.EngineWork;
import org.guavathread.core.dispatch.RoomLimit;
import org.guavathread.core.id.BackendServerId;
import org.guavathread.core.registry.SoftwareVersion;
import org.guavathread.core.registry.Worker;
import org.guavathread.core.routing.Priority;
import org.guavathread.core.routing.ServiceTerms.EngineTerms;

/**
 * Selects the engines of one language request. Engines of different software versions are not compatible: a stream goes on
 * only at the version that began it, and a KV cache fits only engines of the version that wrote it.
 */
final class EngineSelection {

    private final GatewayContext context;
    private final EngineTerms engineTerms;
    private final AdmittedRequest admitted;
    private Optional<SoftwareVersion> version = Optional.empty();

    EngineSelection(GatewayContext context, EngineTerms engineTerms, AdmittedRequest admitted) {
        this.context = context;
        this.engineTerms = engineTerms;
        this.admitted = admitted;
    }

    /** Restricts the selection to the version that began the stream. */
    void restrictTo(SoftwareVersion began) {
        version = Optional.of(began);
    }

    /** Returns the engines that can serve the request. */
    List<Worker> compatible(List<Worker> engines) {
        return version.map(v -> ofVersion(engines, context.state().registry().resolve(v)))
                .orElse(engines);
    }

    /** Plans the request at the version that has read its prompt, if an engine there has room, otherwise at any one. */
    Optional<EnginePlan> plan(
            List<Worker> engines,
            Set<BackendServerId> excluded,
            EngineWork work,
            Optional<SoftwareVersion> prefilledVersion) {
        return prefilledVersion
                .flatMap(v -> plan(ofVersion(engines, v), excluded, work))
                .or(() -> plan(engines, excluded, work));
    }

    private Optional<EnginePlan> plan(List<Worker> engines, Set<BackendServerId> excluded, EngineWork work) {
        long now = context.loop().nowMillis();
        return context.engineDispatch()
                .chooseWarmFirst(
                        engines,
                        context.coldServers().notCold(engines, now),
                        excluded,
                        work,
                        engineTerms.memoryTokens(),
                        admitted.rule().targetMillis(),
                        admitted.priority()
                                .map(priority -> limitFor(priority, engines))
                                .orElse(RoomLimit.NONE_KEPT),
                        now);
    }

    private RoomLimit limitFor(Priority priority, List<Worker> engines) {
        List<Worker> generating =
                engines.stream().filter(w -> w.stage().generates()).toList();
        return context.keptRoom().limitFor(admitted.service(), priority, generating, engineTerms.memoryTokens());
    }

    private static List<Worker> ofVersion(List<Worker> engines, SoftwareVersion version) {
        return engines.stream().filter(w -> w.softwareVersion().equals(version)).toList();
    }
}
