package registry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"savorywing.example/savorywing"
	"savorywing.example/savorywing/process/clock"
	"savorywing.example/savorywing/version/settings"
	"savorywing.example/savorywing/wire"
)

const settingsText = `
daemon: {host: one, callers: "127.0.0.1:1", peers: "127.0.0.1:2", operators: "127.0.0.1:3", keysFile: k, operatorsFile: t, dataFolder: d}
dataCentres: {centre: {region: here}}
hosts: {one: {dataCentre: centre, peers: "127.0.0.1:2", roles: [entry, control]}}
organisations: {college: {share: 1}}
classes: {desk: {timeZone: UTC, windows: {always: {from: "00:00", to: "24:00", firstToken: 1s, betweenTokens: 1s, wholeAnswer: 9s}}}}
`

// TestReadyAndConfirmations checks when a daemon that has started becomes ready, and that it rejects an older configuration.
func TestReadyAndConfirmations(t *testing.T) {
	Convey("A daemon that has just started", t, func() {
		s, err := settings.ParseWithDaemon("test", []byte(settingsText))
		So(err, ShouldBeNil)
		c := clock.NewManual(time.Unix(1000, 0))
		r, err := New(c, s)
		So(err, ShouldBeNil)
		table := wire.Table{Number: 4, Groups: []wire.Group{{
			ID: "g", Fence: 1, Phase: savorywing.PhaseServing, Members: []wire.GroupMember{{Host: "a", Boot: 1}},
		}}}
		confirm := func() { So(r.RecordConfirmation(c.Now(), wire.Confirmed{TableNumber: 4, Table: &table}), ShouldBeNil) }
		So(r.Ready(), ShouldBeFalse)
		confirm()
		So(r.IsFresh(), ShouldBeTrue)
		So(r.Ready(), ShouldBeFalse)
		c.Advance(s.Timing.Lease)
		confirm()

		Convey("is ready once every member of a serving group has answered", func() {
			So(r.Ready(), ShouldBeFalse)
			r.RecordPollResponse(c.Now(), wire.Announcement{Host: "a", Boot: 1, Sequence: 1})
			So(r.Ready(), ShouldBeTrue)
		})
		Convey("waits for a lost member for a limited time only", func() {
			c.Advance(maxReadyWait)
			confirm()
			So(r.Ready(), ShouldBeTrue)
		})
		Convey("is not ready once its configuration is stale", func() {
			c.Advance(maxReadyWait)
			So(r.IsFresh(), ShouldBeFalse)
			So(r.Ready(), ShouldBeFalse)
		})
		Convey("rejects a confirmation that would revert the configuration", func() {
			text, err := s.ConfigurationYAML()
			So(err, ShouldBeNil)
			newer := wire.Confirmed{Number: 2, TableNumber: 4, Configuration: &wire.Configuration{Number: 2, Text: string(text)}}
			So(r.RecordConfirmation(c.Now(), newer), ShouldBeNil)
			So(r.RecordConfirmation(c.Now(), wire.Confirmed{Number: 1, TableNumber: 4}), ShouldNotBeNil)
			So(r.VersionNumbers().Configuration, ShouldEqual, 2)
		})
	})
}
