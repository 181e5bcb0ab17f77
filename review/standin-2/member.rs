//! The routers, started as separate processes with the command of the deploy file.

use std::{
    fs,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, ExitStatus, Stdio},
    time::{Duration, Instant},
};

use crate::{client::Client, store::Store, wait_for};

/// The command in `deploy/system.toml`.
const COMMAND: &str = "target/release/godwitroad-member";

/// A router. Dropping it kills the process.
pub struct Member {
    child: Child,
    folder: PathBuf,
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

/// Starts `count` routers on 127.0.0.11 and following, in zones `a`, `b`, `c` in turn.
pub fn start(store: &Store, count: usize, extra: &str) -> Result<Vec<Member>, String> {
    let hosts: Vec<String> = (0..count).map(|index| format!("127.0.0.{}", 11 + index)).collect();
    let base = free_ports(&hosts).ok_or("no free ports")?;
    let members = (0..count).map(|index| Member::start(store, &hosts, index, base, extra));
    let members: Result<Vec<Member>, String> = members.collect();
    let members = members?;
    let is_up = || members.iter().all(Member::is_ready);
    if !wait_for(Duration::from_secs(15), is_up) {
        return Err("the routers don't become ready".into());
    }
    Ok(members)
}

// Returns the first of six ports that are free at all addresses.
fn free_ports(hosts: &[String]) -> Option<u16> {
    let seed = std::process::id() as u16 % 1_000;
    (0..400u16).map(|step| 21_000 + (seed + step * 17) % 1_400 * 8).find(|base| {
        (0..6).all(|offset| {
            hosts.iter().all(|host| {
                let address = format!("{host}:{}", base + offset);
                TcpListener::bind(&address).is_ok() && UdpSocket::bind(&address).is_ok()
            })
        })
    })
}

impl Member {
    fn start(
        store: &Store,
        hosts: &[String],
        index: usize,
        base: u16,
        extra: &str,
    ) -> Result<Member, String> {
        let host = &hosts[index];
        let zone = ["a", "b", "c"][index % 3];
        let name = format!("edge-{zone}-{}", index + 1);
        let folder = std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), name));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let seeds: Vec<String> =
            hosts.iter().take(3).map(|host| format!("{host}:{}", base + 2)).collect();
        let text = format!(
            "Node={name}\nRole=router\nMachineClass=edge\nServes=edge,control\nIp={host}\nZone={zone}\nRegion=north\n\
             Zones.a=north\nZones.b=north\nZones.c=north\nListen.Front={host}:{base}\nListen.Ready={host}:{}\n\
             Listen.Control={host}:{}\nInternalPorts={},{}\nSeeds={}\nBootstrap=true\nInFaultBudget=false\n\
             Limits.CpuShare=0.25\nLimits.Cores=1\nLimits.MemoryMb=110\nLimits.MaxFds=4100\nLimits.LinkMbps=1000.0\n\
             Limits.DiskMb=0\nDiscovery=platform\nEntry=vip\nHeartbeatMs=1200\n\
             Contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,quota,platform\n\
             FaultTolerance.Machines=2\nFaultTolerance.Zones=0\nFaultTolerance.Regions=0\nBounds.SeedLagS=3\n\
             Bounds.ReuseAfterS=2\nBounds.ContactMs=3000\nBounds.AckMs=4000\nBounds.CatchUpS=4\nBounds.DrainMs=2500\n\
             Bounds.GraceS=8\nBounds.LostSlackMs=200\nBounds.ConfigApplyMs=2500\nBounds.DowngradeSlackMs=250\n\
             Bounds.MaxSkewMs=5000\nBounds.StrictRevoke=true\nBounds.RevokeMs=5000\nBounds.RetryBudgetRatio=0.2\n\
             Bounds.BudgetWindowS=10\nBounds.RetryBudgetBurst=56\nBounds.QuotaWindowS=8\nBounds.QuotaOverage=0.1\n\
             Bounds.QuotaSlack=110000\nBounds.RecoveryS=12\nBounds.TransitMs=200\nBounds.ReuseWindowS=10\n\
             Bounds.FencingEnforced=false\nBounds.LeaseMs=3000\nBounds.ThawSlackMs=300\nBounds.VersionMs=10000\n\
             Bounds.VersionAllMs=14000\nPlatform.Address={}\nPlatform.form=kv\nPlatform.WritesPerS=400\n\
             Platform.ReadsPerS=2000\nPlatform.HistoryS=20\nPlatform.ValueBytes=1048576\nPlatform.TtlMinMs=1000\n{extra}",
            base + 1,
            base + 2,
            base + 3,
            base + 5,
            seeds.join(","),
            store.address,
        );
        fs::write(folder.join("local.conf"), text).map_err(|error| error.to_string())?;
        let address = |port: u16| format!("{host}:{port}").parse().expect("an address");
        let child = spawn(&folder)?;
        Ok(Member { child, folder, name, front: address(base), ready: address(base + 1) })
    }

    /// Returns whether the router says that it is ready.
    pub fn is_ready(&self) -> bool {
        let Some(mut client) = Client::connect(self.ready) else { return false };
        let sent = client.send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
        sent.and_then(|()| client.read(|_| ())).is_some_and(|answer| answer.status == 200)
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    /// Returns how the process has ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until the process has ended; returns the time that this took.
    pub fn wait_end(&mut self, limit: Duration) -> Option<Duration> {
        let start = Instant::now();
        wait_for(limit, || self.ended().is_some()).then(|| start.elapsed())
    }

    /// Starts the process again, as the platform does after it has ended.
    pub fn start_again(&mut self) -> Result<(), String> {
        let path = self.folder.join("local.conf");
        let text = fs::read_to_string(&path).map_err(|error| error.to_string())?;
        let text = text.replace("Bootstrap=true", "Bootstrap=false");
        fs::write(&path, text).map_err(|error| error.to_string())?;
        self.child = spawn(&self.folder)?;
        Ok(())
    }
}

fn spawn(folder: &PathBuf) -> Result<Child, String> {
    let log = fs::OpenOptions::new().create(true).append(true).open(folder.join("log"));
    let log = log.map_err(|error| error.to_string())?;
    Command::new(COMMAND)
        .env("GODWITROAD_BOOT", folder.join("local.conf"))
        .stdin(Stdio::null())
        .stdout(Stdio::from(log))
        .stderr(Stdio::null())
        .spawn()
        .map_err(|error| format!("{COMMAND}: {error}"))
}

impl Drop for Member {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
