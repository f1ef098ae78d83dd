package launcher

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Explain prints the addresses of the instances and upstreams, and commands to try.
func (c *Cluster) Explain(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tPLACE\tCALLERS AT\tOPERATORS AT")
	for _, instance := range c.Instances {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n",
			instance.Name(), instance.Place, instance.CallerAddress(), instance.OperatorAddress())
	}
	fmt.Fprintln(table, "\nUPSTREAM\tPLACE\tSERVICE\tADDRESS")
	for version := range c.Set.Versions.All() {
		for _, upstream := range version.Upstreams {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", upstream.Name, upstream.Place, version.Service, upstream.Address)
		}
	}
	table.Flush()
	c.explainCalls(w)
}

// explainCalls prints commands with the addresses and keys of this cluster.
func (c *Cluster) explainCalls(w io.Writer) {
	entry := c.Instances[0]
	for service := range c.Set.Services.All() {
		fmt.Fprintf(w, "\nAsk which instance to use for %s, then order there:\n", service.Name)
		fmt.Fprintf(w, "  curl 'http://%s/.hemlockport/lookup?service=%s'\n", entry.CallerAddress(), service.Name)
		for key := range c.Set.Keys.All() {
			fmt.Fprintf(w, "  curl -i -H 'Host: %s' -H 'Authorization: Bearer %s' -d 'one quilt' http://%s/orders/1\n",
				service.HostNames()[0], KeyOf(key.Name), entry.CallerAddress())
			break
		}
	}
	fmt.Fprintf(w, "\nOperate it from another terminal:\n")
	fmt.Fprintf(w, "  export HEMLOCKPORT_AT=%s HEMLOCKPORT_OPERATOR_KEY=%s\n", entry.OperatorAddress(), OperatorKey)
	fmt.Fprintf(w, "  bin/hemlockport status\n  bin/hemlockport get Team\n  bin/hemlockport timeline\n")
	for key := range c.Set.Keys.All() {
		fmt.Fprintf(w, "  bin/hemlockport withdraw %s\n", key.Name)
		break
	}
	fmt.Fprintf(w, "\nBreak something: the platform's stand-in at %s, any upstream's at its address:\n", c.PlatformAddress)
	fmt.Fprintf(w, "  curl -X PUT -d '{\"Down\":true}' http://%s/faults\n", c.PlatformAddress)
	for _, upstream := range c.Upstreams {
		fmt.Fprintf(w, "  curl -X PUT -d '{\"Silent\":true}' http://%s/.standin/faults\n", upstream.Address)
		break
	}
	fmt.Fprintln(w, "\nctrl-c stops it.")
}
