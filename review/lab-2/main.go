// Command lab-2 runs the scripts of the second review. It is the stand-in of the platform, of the workers, of the links
// between them and the entry processes, and of the clients, follows ../../given/kit/more/system/PROTOCOL.md, and starts the
// entry processes with the command of the deploy file.
package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	var worker workerFlags
	flag.StringVar(&worker.id, "worker", "", "run as the worker with this ID")
	flag.StringVar(&worker.listen, "listen", "", "address of the worker")
	flag.StringVar(&worker.advertised, "advertised", "", "address of the worker in the list of workers")
	flag.StringVar(&worker.zone, "zone", "", "zone of the worker")
	flag.StringVar(&worker.rack, "rack", "", "rack of the worker")
	flag.StringVar(&worker.control, "control", "", "address of the recorder")
	flag.Int64Var(&worker.cpu, "cpu", 0, "processor capacity of the worker in thousandths of a core")
	scenario := flag.String("case", "", "run this case: "+fmt.Sprint(caseNames()))
	folder := flag.String("folder", "", "folder for record.txt")
	flag.Parse()
	if worker.id != "" {
		fmt.Fprintln(os.Stderr, runWorker(worker))
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(*scenario, *folder, os.Getenv("TROUBLE") != "0"))
}
