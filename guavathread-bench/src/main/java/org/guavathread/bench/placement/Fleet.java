package org.guavathread.bench.placement;

import java.util.ArrayList;
import java.util.List;

import org.guavathread.core.id.BackendServerId;

/** The fake engines of one run. */
final class Fleet {

    final EventLoop loop = new EventLoop();
    final PrefillCounter prefillCounter = new PrefillCounter();
    final Deployment deployment;
    final List<FakePrefill> prefills = new ArrayList<>();
    final List<FakeDecode> decodes = new ArrayList<>();

    Fleet(Deployment deployment) {
        this.deployment = deployment;
        int engine = 0;
        for (int i = 0; i < deployment.prefills(); i++) {
            prefills.add(new FakePrefill(
                    new BackendServerId("p" + i), engine++ % deployment.dataCentres(), loop, prefillCounter));
        }
        for (int i = 0; i < deployment.decodes(); i++) {
            decodes.add(new FakeDecode(new BackendServerId("d" + i), engine++ % deployment.dataCentres(), loop));
        }
    }

    int dataCentreOfHost(int host) {
        return host % deployment.dataCentres();
    }
}
