package org.guavathread.core.routing;

import java.util.List;
import java.util.Optional;

import org.guavathread.core.id.DataCentreId;
import org.guavathread.core.id.RegionId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against requests that leave the homes of their routes and workspaces. */
class RegionMapTest {

    private static final DataCentreId TALCA = new DataCentreId("talca");
    private static final DataCentreId NATAL = new DataCentreId("natal");
    private static final DataCentreId UNKNOWN = new DataCentreId("elsewhere");
    private static final HomeRegions MAULE = HomeRegions.of("maule");
    private static final HomeRegions NORDESTE = HomeRegions.of("nordeste");
    private static final HomeRegions BOTH = HomeRegions.of("maule", "nordeste");

    private final RegionMap regions = RegionMap.parse("talca=maule,natal=nordeste");

    private List<Boolean> allowed(HomeRegions ofRoute, HomeRegions ofWorkspace) {
        HomeRegions.Allowed homes = ofRoute.and(ofWorkspace);
        return List.of(regions.allows(homes, TALCA), regions.allows(homes, NATAL), regions.allows(homes, UNKNOWN));
    }

    @Test
    void homesOfRouteAndWorkspaceBothBind() {
        assertEquals(List.of(true, true, true), allowed(HomeRegions.ANY, HomeRegions.ANY));
        assertEquals(List.of(true, false, false), allowed(MAULE, HomeRegions.ANY));
        assertEquals(List.of(false, true, false), allowed(HomeRegions.ANY, NORDESTE));
        assertEquals(List.of(false, true, false), allowed(BOTH, NORDESTE));
        assertEquals(List.of(false, false, false), allowed(MAULE, NORDESTE));
    }

    @Test
    void callersAreSentToTheirOwnRegionOrToHomesOfAllRoutes() {
        Optional<RegionId> fromNordeste = Optional.of(new RegionId("nordeste"));
        assertTrue(regions.mayReceive(List.of(MAULE), fromNordeste, TALCA), "a home");
        assertTrue(regions.mayReceive(List.of(MAULE), fromNordeste, NATAL), "the callers' own region");
        assertFalse(regions.mayReceive(List.of(MAULE), Optional.empty(), NATAL));
        assertFalse(regions.mayReceive(List.of(MAULE, NORDESTE), Optional.empty(), TALCA), "no home of one route");
        assertFalse(regions.mayReceive(List.of(MAULE), fromNordeste, UNKNOWN));
        assertTrue(regions.mayReceive(List.of(HomeRegions.ANY), Optional.empty(), UNKNOWN), "no route has homes");
    }

    @Test
    void withoutDataCentresThereIsOneRegion() {
        RegionMap one = RegionMap.parse("");
        assertTrue(one.allows(MAULE.and(NORDESTE), TALCA));
        assertTrue(one.mayReceive(List.of(MAULE), Optional.empty(), NATAL));
    }

    @ParameterizedTest
    @ValueSource(strings = {"talca", "talca=", "=maule", "talca=maule=x", "talca=maule,,natal=nordeste"})
    void faultyEntryIsNamed(String text) {
        assertThrows(IllegalArgumentException.class, () -> RegionMap.parse(text));
    }
}
