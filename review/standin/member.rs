//! A router of the platform as a child process, started with the command of the deploy file.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::atomic::{AtomicU16, Ordering},
    thread::sleep,
    time::{Duration, Instant},
};

use super::http::Client;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGHUP: i32 = 1;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// The program that the deploy file names.
const PROGRAM: &str = "target/release/godwitroad-member";

/// The machines of a small deployment: their names, addresses and zones. All have the same ports.
pub struct Fleet {
    folder: PathBuf,
    store: SocketAddr,
    ports: [u16; 5],
    count: u8,
    /// Lines that replace those of the same field in the settings.
    pub overrides: Vec<(String, String)>,
}

pub struct Member {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
}

fn address(index: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 40, index + 1)
}

// Returns five ports that are free on the addresses of all machines.
fn free_ports(count: u8) -> [u16; 5] {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    for _ in 0..500 {
        let step = NEXT.fetch_add(1, Ordering::SeqCst);
        let first = 12_000 + (std::process::id() as u16 % 1_500 + step) % 1_500 * 10;
        let ports = [first, first + 1, first + 2, first + 3, first + 4];
        let is_free = |index| {
            ports.iter().all(|port| TcpListener::bind((IpAddr::V4(address(index)), *port)).is_ok())
        };
        if (0..count).all(is_free) {
            return ports;
        }
    }
    panic!("no five free ports in a row");
}

impl Fleet {
    pub fn new(folder: &Path, store: SocketAddr, count: u8) -> Fleet {
        let folder = folder.to_path_buf();
        Fleet { folder, store, ports: free_ports(count), count, overrides: Vec::new() }
    }

    pub fn zone(index: u8) -> &'static str {
        ["busan-a", "ulsan-b", "daejeon-a"][index as usize % 3]
    }

    fn settings(&self, index: u8, bootstrap: bool) -> String {
        let [gossip, _, front, ready, control] = self.ports;
        let (ip, zone) = (address(index), Fleet::zone(index));
        let region = if zone == "daejeon-a" { "kr-central" } else { "kr-south" };
        let seeds: Vec<String> =
            (0..self.count.min(3)).map(|seed| format!("{}:{control}", address(seed))).collect();
        let text = format!(
            "Node=edge-{index}\nRole=router\nMachineClass=edge\nServes=edge,control\nIp={ip}\nZone={zone}\n\
             Region={region}\nZones.busan-a=kr-south\nZones.daejeon-a=kr-central\nZones.ulsan-b=kr-south\n\
             Listen.Front={ip}:{front}\nListen.Ready={ip}:{ready}\nListen.Control={ip}:{control}\n\
             InternalPorts={gossip},{}\nSeeds={}\nBootstrap={bootstrap}\nInFaultBudget=false\n\
             Limits.CpuShare=0.25\nLimits.Cores=1\nLimits.MemoryMb=110\nLimits.MaxFds=4100\n\
             Limits.LinkMbps=1000.0\nLimits.DiskMb=0\nDiscovery=platform\nEntry=vip\nHeartbeatMs=1200\n\
             Contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,quota,platform\n\
             FaultTolerance.Machines=2\nFaultTolerance.Zones=0\nFaultTolerance.Regions=0\nBounds.SeedLagS=3\n\
             Bounds.ReuseAfterS=2\nBounds.ContactMs=3000\nBounds.AckMs=4000\nBounds.CatchUpS=4\n\
             Bounds.DrainMs=2500\nBounds.GraceS=8\nBounds.LostSlackMs=200\nBounds.ConfigApplyMs=2500\n\
             Bounds.DowngradeSlackMs=250\nBounds.MaxSkewMs=5000\nBounds.StrictRevoke=true\n\
             Bounds.RevokeMs=5000\nBounds.RetryBudgetRatio=0.2\nBounds.BudgetWindowS=10\n\
             Bounds.RetryBudgetBurst=56\nBounds.QuotaWindowS=8\nBounds.QuotaOverage=0.1\n\
             Bounds.QuotaSlack=110000\nBounds.RecoveryS=12\nBounds.TransitMs=200\nBounds.ReuseWindowS=10\n\
             Bounds.FencingEnforced=false\nBounds.LeaseMs=3000\nBounds.ThawSlackMs=300\n\
             Bounds.VersionMs=10000\nBounds.VersionAllMs=14000\nPlatform.Address={}\nPlatform.form=kv\n\
             Platform.WritesPerS=400\nPlatform.ReadsPerS=2000\nPlatform.HistoryS=20\n\
             Platform.ValueBytes=1048576\nPlatform.TtlMinMs=1000\n",
            gossip + 1,
            seeds.join(","),
            self.store
        );
        let lines = text.lines().map(|line| {
            let name = line.split('=').next().unwrap_or("");
            let other = self.overrides.iter().find(|(field, _)| field == name);
            other.map_or(line.to_string(), |(field, value)| format!("{field}={value}"))
        });
        lines.map(|line| line + "\n").collect()
    }

    pub fn start(&self, index: u8, bootstrap: bool) -> Member {
        let [_, _, front, ready, _] = self.ports;
        let settings = self.folder.join(format!("edge-{index}.conf"));
        fs::write(&settings, self.settings(index, bootstrap)).expect("a writable folder");
        let log = self.folder.join(format!("edge-{index}.log"));
        let child = spawn(&settings, &log);
        let socket = |port| SocketAddr::new(IpAddr::V4(address(index)), port);
        let name = format!("edge-{index}");
        Member { name, front: socket(front), ready: socket(ready), child, settings, log }
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let output = File::options().create(true).append(true).open(log).expect("a writable folder");
    let errors = output.try_clone().expect("an open file");
    Command::new(PROGRAM)
        .env("GODWITROAD_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(errors)
        .spawn()
        .expect("the build of the deploy file has made the program")
}

impl Member {
    /// Returns whether the router's readiness check answers 200.
    pub fn is_ready(&self) -> bool {
        let Some(mut client) = Client::connect(self.ready, Duration::from_secs(1)) else {
            return false;
        };
        client.send("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
        client.read().is_some_and(|answer| answer.status == 200)
    }

    pub fn process(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        // The process is a child of this one, so that its id can't have been given to another.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns how the process ended; `None` if it is still running.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the process is a child of this one")
    }

    pub fn wait(&mut self, patience: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < patience {
            if self.ended().is_some() {
                return true;
            }
            sleep(Duration::from_millis(5));
        }
        false
    }

    /// Starts the process again after it has ended, as the platform does.
    pub fn start_again(&mut self) {
        let text = fs::read_to_string(&self.settings).expect("the settings exist");
        let text = text.replace("Bootstrap=true", "Bootstrap=false");
        fs::write(&self.settings, text).expect("a writable folder");
        self.child = spawn(&self.settings, &self.log);
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
